#include <hemlocknotch/core/damped_fair_order.hpp>
#include <hemlocknotch/core/random_order.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>
#include <vector>

using namespace hemlocknotch;

namespace {

const std::vector<backlogged_account> accounts{{account_key{1}, 1.0, 1.0, {}},
                                               {account_key{2}, 2.0, 1.0, {}}};

} // namespace

BOOST_AUTO_TEST_SUITE(damped_fair_order_test)

BOOST_AUTO_TEST_CASE(single_agent_serves_the_lowest_weighted_counter)
{
    service_ledger ledger{{"agent-a", 1}};
    ledger.charge(account_key{1}, 10.0);
    ledger.charge(account_key{2}, 19.0);
    const fair_order_context context{{}, 1, 1, 5.0, 100.0};
    BOOST_TEST(damped_fair_order{}.next(accounts, ledger, context).value() == 1U);
    ledger.charge(account_key{2}, 2.0);
    BOOST_TEST(damped_fair_order{}.next(accounts, ledger, context).value() == 0U);
}

BOOST_AUTO_TEST_CASE(no_account_is_chosen_from_an_empty_backlog)
{
    const service_ledger ledger{{"agent-a", 1}};
    BOOST_TEST(!damped_fair_order{}.next({}, ledger, {}).has_value());
    BOOST_TEST(!random_order{}.next({}, ledger, {}).has_value());
}

BOOST_AUTO_TEST_CASE(agents_that_see_the_same_counters_choose_differently)
{
    const service_ledger ledger{{"agent-a", 1}};
    std::mt19937_64 random{1};
    std::array<int, 2> chosen{};
    for (int n = 0; n < 1000; ++n) {
        const fair_order_context context{{}, random(), 20, 5.0, 100.0};
        ++chosen.at(damped_fair_order{}.next(accounts, ledger, context).value());
    }
    BOOST_TEST(chosen[0] > 100);
    BOOST_TEST(chosen[1] > 100);
}

BOOST_AUTO_TEST_CASE(account_behind_by_more_than_the_random_term_is_served)
{
    service_ledger ledger{{"agent-a", 1}};
    const fair_order_context context{{}, 7, 20, 5.0, 100.0};
    // The random term is at most half of what 20 agents charge in a report interval of one second.
    ledger.charge(account_key{2}, 2.0 * 1001.0);
    BOOST_TEST(damped_fair_order{}.next(accounts, ledger, context).value() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
