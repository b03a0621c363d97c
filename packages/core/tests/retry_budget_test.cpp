#include "retry_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {

BOOST_AUTO_TEST_SUITE(retry_budget_test)

BOOST_AUTO_TEST_CASE(allows_a_share_of_requests_and_a_reserve)
{
    retry_budget budget{0.1, instant{}};
    for (int n = 0; n < 200; ++n) {
        budget.on_request();
    }
    int spent = 0;
    while (budget.try_spend(instant{})) {
        ++spent;
    }
    BOOST_TEST(spent == 30);
}

BOOST_AUTO_TEST_CASE(refills_the_reserve_with_time)
{
    retry_budget budget{0.0, instant{}};
    while (budget.try_spend(instant{})) {
    }
    BOOST_TEST(!budget.try_spend(instant{std::chrono::milliseconds{900}}));
    BOOST_TEST(budget.try_spend(instant{std::chrono::milliseconds{1100}}));
}

BOOST_AUTO_TEST_CASE(backoff_doubles_up_to_its_limit_and_is_jittered)
{
    const duration base = std::chrono::milliseconds{20};
    const duration limit = std::chrono::milliseconds{100};
    BOOST_TEST((jittered_backoff(base, limit, 1, 0.0) == base / 2));
    BOOST_TEST((jittered_backoff(base, limit, 2, 0.5) == std::chrono::milliseconds{30}));
    BOOST_TEST((jittered_backoff(base, limit, 60, 0.0) == limit / 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
