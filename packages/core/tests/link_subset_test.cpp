#include <hemlocknotch/core/link_subset.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using hemlocknotch::choose_links;
using hemlocknotch::entries_per_agent;
using hemlocknotch::link_subset_options;
using hemlocknotch::member;
using hemlocknotch::member_state;
using hemlocknotch::process_role;

namespace {

constexpr std::size_t domain_count = 18;
constexpr std::size_t service_count = 5;

using link_pair = std::pair<std::string, std::string>;

member create_member(process_role role, std::size_t n)
{
    const auto address = hemlocknotch::endpoint_address::parse("127.0.0.1:1");
    const std::string domain = "domain-" + std::to_string(n % domain_count);
    if (role == process_role::entry) {
        return {"entry-" + std::to_string(n), role, *address, domain, "", member_state::live};
    }
    const std::string service = "model-" + std::to_string((n / domain_count) % service_count);
    return {"agent-" + std::to_string(n), role, *address, domain, service, member_state::live};
}

std::vector<member> create_fleet(std::size_t entries, std::size_t agents)
{
    std::vector<member> members;
    for (std::size_t n = 0; n < entries; ++n) {
        members.push_back(create_member(process_role::entry, n));
    }
    for (std::size_t n = 0; n < agents; ++n) {
        members.push_back(create_member(process_role::agent, n));
    }
    return members;
}

std::set<link_pair> all_links(const std::vector<member>& members, const link_subset_options& options)
{
    std::set<link_pair> links;
    for (const member& it : members) {
        if (it.role != process_role::entry) {
            continue;
        }
        for (const std::size_t n : choose_links(it.name, it.failure_domain, members, options)) {
            links.emplace(it.name, members[n].name);
        }
    }
    return links;
}

std::size_t count_changes(const std::set<link_pair>& before, const std::set<link_pair>& after)
{
    std::vector<link_pair> changes;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                  std::back_inserter(changes));
    return changes.size();
}

/// A fleet of the size expected in the long run; its links are computed once.
struct large_fleet {
    std::vector<member> members = create_fleet(400, 2500);
    link_subset_options options;
    std::set<link_pair> links = all_links(members, options);

    static const large_fleet& instance()
    {
        static const large_fleet fleet;
        return fleet;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(link_subset_test)

BOOST_AUTO_TEST_CASE(a_small_fleet_is_fully_linked)
{
    const std::vector<member> members = create_fleet(3, 23);
    BOOST_TEST(all_links(members, {}).size() == 3U * 23U);
}

BOOST_AUTO_TEST_CASE(leaving_agents_are_not_chosen_and_an_unlisted_entry_still_chooses_links)
{
    std::vector<member> members = create_fleet(2, 4);
    members.back().state = member_state::leaving;
    BOOST_TEST(choose_links("new", "domain-0", members, {}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(every_agent_has_the_stated_number_of_entries)
{
    const large_fleet& fleet = large_fleet::instance();
    std::map<std::string, std::size_t> entries_of;
    for (const link_pair& it : fleet.links) {
        ++entries_of[it.second];
    }
    BOOST_TEST(entries_of.size() == 2500U);
    std::map<std::string, std::size_t> agents_of_service;
    for (const member& it : fleet.members) {
        ++agents_of_service[it.service];
    }
    for (const member& it : fleet.members) {
        if (it.role == process_role::agent) {
            const std::size_t expected = entries_per_agent(400, agents_of_service[it.service], fleet.options);
            BOOST_TEST(entries_of[it.name] == expected);
        }
    }
}

BOOST_AUTO_TEST_CASE(every_entry_has_the_stated_number_of_agents_within_five_deviations)
{
    const large_fleet& fleet = large_fleet::instance();
    std::map<std::string, std::string> service_of;
    for (const member& it : fleet.members) {
        service_of[it.name] = it.service;
    }
    std::map<link_pair, std::size_t> counts;
    for (const link_pair& it : fleet.links) {
        ++counts[{it.first, service_of[it.second]}];
    }
    BOOST_TEST(counts.size() == 400U * service_count);
    const auto target_count = static_cast<double>(fleet.options.agents_per_service);
    for (const auto& [pair, n] : counts) {
        BOOST_TEST(std::abs(static_cast<double>(n) - target_count) <= 5.0 * std::sqrt(target_count));
    }
}

BOOST_AUTO_TEST_CASE(entries_link_to_more_agents_of_their_own_domain)
{
    const large_fleet& fleet = large_fleet::instance();
    std::map<std::string, std::string> domain_of;
    for (const member& it : fleet.members) {
        domain_of[it.name] = it.failure_domain;
    }
    const auto own = std::count_if(fleet.links.begin(), fleet.links.end(), [&](const link_pair& it) {
        return domain_of[it.first] == domain_of[it.second];
    });
    // An agent has about 22 entries in its own domain, which is fewer than half of its links: all are chosen.
    BOOST_TEST(static_cast<double>(own) > 0.4 * static_cast<double>(fleet.links.size()));
}

BOOST_AUTO_TEST_CASE(an_entry_that_joins_or_leaves_changes_at_most_one_link_of_each_agent)
{
    const large_fleet& fleet = large_fleet::instance();
    std::vector<member> fewer = fleet.members;
    fewer.erase(fewer.begin() + 100);
    const std::set<link_pair> after = all_links(fewer, fleet.options);
    std::map<std::string, std::size_t> lost;
    for (const link_pair& it : fleet.links) {
        lost[it.second] += after.contains(it) ? 0 : 1;
    }
    for (const auto& [agent, n] : lost) {
        BOOST_TEST(n <= 1U);
    }
    // The links of the removed entry, and as many that replace them.
    BOOST_TEST(count_changes(fleet.links, after) <= 2U * 5U * (64U + 40U));
}

BOOST_AUTO_TEST_CASE(an_agent_that_leaves_changes_at_most_one_link_of_each_other_agent_of_its_service)
{
    const large_fleet& fleet = large_fleet::instance();
    std::vector<member> fewer = fleet.members;
    fewer.erase(fewer.begin() + 400 + 1000);
    const std::set<link_pair> after = all_links(fewer, fleet.options);
    const std::string& service = fleet.members[1400].service;
    const auto agents = static_cast<std::size_t>(std::count_if(
        fleet.members.begin(), fleet.members.end(), [&](const member& it) { return it.service == service; }));
    const std::size_t own = entries_per_agent(400, agents, fleet.options);
    BOOST_TEST(count_changes(fleet.links, after) >= own);
    BOOST_TEST(count_changes(fleet.links, after) <= own + agents);
}

BOOST_AUTO_TEST_CASE(few_entries_leave_no_agent_without_links)
{
    const std::vector<member> members = create_fleet(5, 2000);
    std::set<std::string> linked;
    for (const link_pair& it : all_links(members, {})) {
        linked.insert(it.second);
    }
    BOOST_TEST(linked.size() == 2000U);
}

BOOST_AUTO_TEST_SUITE_END()
