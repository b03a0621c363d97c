#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace hemlocknotch;

namespace {

const account_key model = account_key::of("model");
const account_key north = account_key::of("north");

/// An entry that knows agents 1 and 2 and has links to the first `linked` of them.
struct linked_fixture : entry_fixture {
    explicit linked_fixture(std::size_t linked)
    {
        configure({"agent-1", "agent-2"});
        for (link_id link = 1; link <= linked; ++link) {
            greet(link, "agent-" + std::to_string(link));
        }
    }

    /// Lets agent 1 report, and returns what each link is told within little more than a report interval.
    template <class Message>
    std::vector<std::pair<link_id, Message>> messages_after_report(double charged)
    {
        service_report_message report{model, {{{"agent-1", 1}, {{north, ++sequence_, charged}}}}, {}};
        on_message(1, report);
        std::vector<std::pair<link_id, Message>> told;
        for (const entry_effect& it : pass(std::chrono::milliseconds{1200})) {
            if (const auto* const sent = std::get_if<send_effect>(&it)) {
                if (const auto* const value = std::get_if<Message>(&sent->content)) {
                    told.emplace_back(sent->link, *value);
                }
            }
        }
        return told;
    }

private:
    std::uint64_t sequence_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(service_reporter_test)

BOOST_AUTO_TEST_CASE(entry_that_hears_all_agents_tells_sums_to_the_others_only)
{
    linked_fixture it{2};
    const auto told = it.messages_after_report<service_totals_message>(5.0);
    BOOST_REQUIRE_EQUAL(told.size(), 1);
    BOOST_TEST(told[0].first == 2U);
    BOOST_TEST((told[0].second.items == std::vector<total_item>{{north, 5}}));
    BOOST_TEST(it.messages_after_report<service_report_message>(6.0).empty());
}

BOOST_AUTO_TEST_CASE(sums_that_have_not_changed_are_not_told_again)
{
    linked_fixture it{2};
    BOOST_TEST(it.messages_after_report<service_totals_message>(5.0).size() == 1U);
    BOOST_TEST(it.messages_after_report<service_totals_message>(5.0).empty());
    BOOST_TEST(it.messages_after_report<service_totals_message>(4.0).size() == 1U);
}

BOOST_AUTO_TEST_CASE(agent_that_links_later_is_told_everything)
{
    linked_fixture it{1};
    BOOST_TEST(it.messages_after_report<service_totals_message>(5.0).empty());
    std::vector<service_totals_message> told;
    for (const entry_effect& effect : it.greet(2, "agent-2")) {
        if (const auto* const sent = std::get_if<send_effect>(&effect)) {
            if (const auto* const value = std::get_if<service_totals_message>(&sent->content)) {
                told.push_back(*value);
            }
        }
    }
    BOOST_REQUIRE_EQUAL(told.size(), 1);
    BOOST_TEST((told[0].items == std::vector<total_item>{{north, 5}}));
}

BOOST_AUTO_TEST_SUITE_END()
