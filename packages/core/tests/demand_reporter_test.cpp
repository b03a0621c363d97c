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

    /// Returns the count told; nothing where none is.
    std::optional<std::uint32_t> tell()
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

BOOST_FIXTURE_TEST_SUITE(demand_teller_test, counted_queue)

BOOST_AUTO_TEST_CASE(only_work_that_the_agent_knows_nothing_of_is_urgent)
{
    BOOST_TEST(!is_demand_urgent(queue, reported));
    add(1);
    BOOST_TEST(is_demand_urgent(queue, reported));
    tell();
    BOOST_TEST(!is_demand_urgent(queue, reported));
    add(7);
    BOOST_TEST(!is_demand_urgent(queue, reported));
    tell();
    for (int n = 0; n < 8; ++n) {
        on_grant_used(reported, north);
        remove_one();
    }
    BOOST_TEST(!is_demand_urgent(queue, reported));
    add(1);
    BOOST_TEST(is_demand_urgent(queue, reported));
}

BOOST_AUTO_TEST_CASE(tells_coarse_steps_only)
{
    add(1);
    BOOST_TEST((tell() == 1U));
    BOOST_TEST(!tell());
    add(4);
    BOOST_TEST((tell() == 5U));
    add(2);
    BOOST_TEST(!tell());
    add(1);
    BOOST_TEST((tell() == 8U));
    for (int n = 0; n < 4; ++n) {
        remove_one();
        BOOST_TEST(!tell());
    }
    remove_one();
    BOOST_TEST((tell() == 3U));
    for (int n = 0; n < 3; ++n) {
        remove_one();
    }
    BOOST_TEST((tell() == 0U));
    BOOST_TEST(!tell());
}

BOOST_AUTO_TEST_CASE(tells_anew_what_the_agent_has_counted_down)
{
    add(3);
    BOOST_TEST((tell() == 3U));
    add(1);
    BOOST_TEST((tell() == 4U));
    for (int n = 0; n < 3; ++n) {
        remove_one();
        add(1);
        on_grant_used(reported, north);
    }
    BOOST_TEST((tell() == 4U));
}

BOOST_AUTO_TEST_CASE(tells_anew_what_the_agent_doubts)
{
    add(1);
    BOOST_TEST((tell() == 1U));
    on_grant_used(reported, north);
    BOOST_TEST((tell() == 1U));
    on_grant_declined(reported, north);
    BOOST_TEST(is_demand_due(queue, reported));
    BOOST_TEST((tell() == 1U));
}

BOOST_AUTO_TEST_CASE(takes_back_what_was_told_and_tells_it_again)
{
    BOOST_TEST(!retract_demand(reported).has_value());
    add(2);
    tell();
    const auto none = retract_demand(reported);
    BOOST_REQUIRE(none);
    BOOST_TEST(none->is_snapshot);
    BOOST_TEST(none->items.empty());
    BOOST_TEST((tell() == 2U));
}

BOOST_AUTO_TEST_CASE(tells_everything_to_a_new_link)
{
    add(2);
    reported_demand fresh;
    const auto message = next_demand(queue, fresh, instant{});
    BOOST_REQUIRE(message);
    BOOST_TEST(message->is_snapshot);
    BOOST_TEST(message->sequence == 1U);
    BOOST_TEST(message->items.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
