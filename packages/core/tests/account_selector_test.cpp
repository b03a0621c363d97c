#include <hemlocknotch/core/fleet_fair_order.hpp>

#include "account_selector.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace hemlocknotch;

namespace {

const account_key township{1};
const account_key farm{2};

account_selector make_selector()
{
    return account_selector{{"agent-a", 1}, std::make_unique<fleet_fair_order>(), std::chrono::seconds{1}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_selector_test)

BOOST_AUTO_TEST_CASE(idle_time_earns_no_credit)
{
    account_selector it = make_selector();
    it.set_backlogged({township});
    it.charge(township, 100.0);
    it.set_backlogged({township, farm});
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 100.0);
}

BOOST_AUTO_TEST_CASE(account_that_returns_to_an_empty_backlog_is_lifted_to_the_last_floor)
{
    account_selector it = make_selector();
    it.set_backlogged({township});
    it.charge(township, 100.0);
    it.set_backlogged({});
    it.set_backlogged({farm});
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 100.0);
}

BOOST_AUTO_TEST_CASE(account_ahead_of_the_others_is_not_set_back)
{
    account_selector it = make_selector();
    it.set_backlogged({township});
    it.charge(farm, 100.0);
    it.set_backlogged({township, farm});
    BOOST_TEST(it.ledger().counter(farm, 1.0) == 100.0);
    BOOST_TEST(it.ledger().counter(township, 1.0) == 0.0);
}

BOOST_AUTO_TEST_CASE(every_place_reserves_the_same_once_a_cost_is_known)
{
    account_selector it = make_selector();
    BOOST_TEST(it.reserve_for(8.0) == 4.0);
    it.on_completed(100.0);
    BOOST_TEST(it.reserve_for(8.0) == 50.0);
}

BOOST_AUTO_TEST_SUITE_END()
