#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace hemlocknotch;

namespace {

const account_key model = account_key::of("model");
const account_key north = account_key::of("north");

/// An entry whose instance list shows agents 1 and 2 and that has links to the first `linked` of them.
struct linked_fixture : entry_fixture {
    explicit linked_fixture(std::size_t linked)
    {
        configure({"agent-1", "agent-2"});
        for (link_id link = 1; link <= linked; ++link) {
            greet(link, "agent-" + std::to_string(link));
        }
    }

    /// Lets agent 1 report `charged` units, and returns the messages that are sent on each link within
    /// slightly more than a report interval.
    template <class Message>
    std::vector<std::pair<link_id, Message>> messages_after_report(double charged)
    {
        service_report_message report{model, {{{"agent-1", 1}, {{north, ++sequence_, charged}}}}, {}};
        on_message(1, report);
        std::vector<std::pair<link_id, Message>> messages;
        for (const entry_effect& it : pass(std::chrono::milliseconds{1200})) {
            if (const auto* const sent = std::get_if<send_effect>(&it)) {
                if (const auto* const value = std::get_if<Message>(&sent->content)) {
                    messages.emplace_back(sent->link, *value);
                }
            }
        }
        return messages;
    }

private:
    std::uint64_t sequence_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(service_reporter_test)

BOOST_AUTO_TEST_CASE(entry_linked_to_all_agents_sends_sums_to_the_other_agents_only)
{
    linked_fixture it{2};
    const auto messages = it.messages_after_report<service_totals_message>(5.0);
    BOOST_REQUIRE_EQUAL(messages.size(), 1);
    BOOST_TEST(messages[0].first == 2U);
    BOOST_TEST((messages[0].second.items == std::vector<total_item>{{north, 5}}));
    BOOST_TEST(it.messages_after_report<service_report_message>(6.0).empty());
}

BOOST_AUTO_TEST_CASE(unchanged_sums_are_not_sent_again)
{
    linked_fixture it{2};
    BOOST_TEST(it.messages_after_report<service_totals_message>(5.0).size() == 1U);
    BOOST_TEST(it.messages_after_report<service_totals_message>(5.0).empty());
    BOOST_TEST(it.messages_after_report<service_totals_message>(4.0).size() == 1U);
}

BOOST_AUTO_TEST_CASE(agent_that_connects_later_is_sent_all_sums)
{
    linked_fixture it{1};
    BOOST_TEST(it.messages_after_report<service_totals_message>(5.0).empty());
    std::vector<service_totals_message> messages;
    for (const entry_effect& effect : it.greet(2, "agent-2")) {
        if (const auto* const sent = std::get_if<send_effect>(&effect)) {
            if (const auto* const value = std::get_if<service_totals_message>(&sent->content)) {
                messages.push_back(*value);
            }
        }
    }
    BOOST_REQUIRE_EQUAL(messages.size(), 1);
    BOOST_TEST((messages[0].items == std::vector<total_item>{{north, 5}}));
}

BOOST_AUTO_TEST_SUITE_END()
