#include "demand_reporter.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace hemlocknotch {
namespace {

const auto north = account_key::of("north");

struct counted_queue {
    counted_queue() { next_demand(queue, reported, instant{}); }

    void add(int n)
    {
        for (; n > 0; --n) {
            entry_request& it = requests.emplace_back();
            it.id = request_id{1, requests.size()};
            it.client_account = north;
            it.profile = &profile;
            queue.add(it);
        }
    }

    void remove_one() { queue.remove(*queue.choose(north, {})); }

    /// Returns the reported count; nothing if no report is due.
    std::optional<std::uint32_t> report()
    {
        const auto message = next_demand(queue, reported, instant{});
        if (!message) {
            return std::nullopt;
        }
        return message->items.at(0).waiting;
    }

    profile_definition profile;
    std::deque<entry_request> requests;
    waiting_queue queue;
    reported_demand reported;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(demand_reporter_test, counted_queue)

BOOST_AUTO_TEST_CASE(only_work_unknown_to_the_agent_is_urgent)
{
    BOOST_TEST(!is_demand_urgent(queue, reported));
    add(1);
    BOOST_TEST(is_demand_urgent(queue, reported));
    report();
    BOOST_TEST(!is_demand_urgent(queue, reported));
    add(7);
    BOOST_TEST(!is_demand_urgent(queue, reported));
    report();
    for (int n = 0; n < 8; ++n) {
        on_grant_used(reported, north);
        remove_one();
    }
    BOOST_TEST(!is_demand_urgent(queue, reported));
    add(1);
    BOOST_TEST(is_demand_urgent(queue, reported));
}

BOOST_AUTO_TEST_CASE(reports_only_coarse_changes)
{
    add(1);
    BOOST_TEST((report() == 1U));
    BOOST_TEST(!report());
    add(4);
    BOOST_TEST((report() == 5U));
    add(2);
    BOOST_TEST(!report());
    add(1);
    BOOST_TEST((report() == 8U));
    for (int n = 0; n < 4; ++n) {
        remove_one();
        BOOST_TEST(!report());
    }
    remove_one();
    BOOST_TEST((report() == 3U));
    for (int n = 0; n < 3; ++n) {
        remove_one();
    }
    BOOST_TEST((report() == 0U));
    BOOST_TEST(!report());
}

BOOST_AUTO_TEST_CASE(reports_again_a_count_that_the_agent_has_decremented)
{
    add(3);
    BOOST_TEST((report() == 3U));
    add(1);
    BOOST_TEST((report() == 4U));
    for (int n = 0; n < 3; ++n) {
        remove_one();
        add(1);
        on_grant_used(reported, north);
    }
    BOOST_TEST((report() == 4U));
}

BOOST_AUTO_TEST_CASE(reports_again_a_count_that_the_agent_does_not_rely_on)
{
    add(1);
    BOOST_TEST((report() == 1U));
    on_grant_used(reported, north);
    BOOST_TEST((report() == 1U));
    on_grant_declined(reported, north);
    BOOST_TEST(is_demand_due(queue, reported));
    BOOST_TEST((report() == 1U));
}

BOOST_AUTO_TEST_CASE(retracts_reported_demand_and_reports_it_again)
{
    BOOST_TEST(!retract_demand(reported).has_value());
    add(2);
    report();
    const auto retraction = retract_demand(reported);
    BOOST_REQUIRE(retraction);
    BOOST_TEST(retraction->is_snapshot);
    BOOST_TEST(retraction->items.empty());
    BOOST_TEST((report() == 2U));
}

BOOST_AUTO_TEST_CASE(reports_a_snapshot_on_a_new_link)
{
    add(2);
    reported_demand unreported;
    const auto message = next_demand(queue, unreported, instant{});
    BOOST_REQUIRE(message);
    BOOST_TEST(message->is_snapshot);
    BOOST_TEST(message->sequence == 1U);
    BOOST_TEST(message->items.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
