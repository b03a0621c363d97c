#include <hemlocknotch/core/fleet_fair_order.hpp>

#include "account_selector.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>

using namespace hemlocknotch;

namespace {

const account_key township{1};
const account_key farm{2};
constexpr instant start{std::chrono::seconds{100}};

account_selector create_selector()
{
    return account_selector{{"agent-a", 1}, std::make_unique<fleet_fair_order>(), std::chrono::seconds{1}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_selector_test)

// Guards against a fault seen in the scenario "skewed": each grant for an account's last known request raised
// the account's counter afterwards, and so took away the service that the account was still owed.
BOOST_AUTO_TEST_CASE(counter_is_raised_after_a_long_gap_in_the_backlog_and_not_after_a_short_one)
{
    account_selector it = create_selector();
    it.set_backlogged({township, farm}, start);
    it.charge(township, 100.0);
    it.set_backlogged({township}, start + std::chrono::seconds{1});
    it.set_backlogged({township, farm}, start + std::chrono::seconds{3});
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 0.0);
    it.set_backlogged({township}, start + std::chrono::seconds{4});
    it.set_backlogged({township, farm}, start + std::chrono::seconds{8});
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 100.0);
}

BOOST_AUTO_TEST_CASE(idle_time_earns_no_credit)
{
    account_selector it = create_selector();
    it.set_backlogged({township}, start);
    it.charge(township, 100.0);
    it.set_backlogged({township, farm}, start);
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 100.0);
}

BOOST_AUTO_TEST_CASE(account_that_becomes_backlogged_alone_is_raised_to_the_last_floor)
{
    account_selector it = create_selector();
    it.set_backlogged({township}, start);
    it.charge(township, 100.0);
    it.set_backlogged({}, start);
    it.set_backlogged({farm}, start);
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 100.0);
}

BOOST_AUTO_TEST_CASE(account_ahead_of_the_others_keeps_its_counter)
{
    account_selector it = create_selector();
    it.set_backlogged({township}, start);
    it.charge(farm, 100.0);
    it.set_backlogged({township, farm}, start);
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 100.0);
    BOOST_TEST(it.ledger().counter(township, 1.0) == 0.0);
}

BOOST_AUTO_TEST_CASE(reserve_is_half_of_the_mean_cost_once_a_cost_is_known)
{
    account_selector it = create_selector();
    BOOST_TEST(it.reserve_for(8.0) == 4.0);
    it.on_completed(100.0);
    BOOST_TEST(it.reserve_for(8.0) == 50.0);
}

BOOST_AUTO_TEST_SUITE_END()
