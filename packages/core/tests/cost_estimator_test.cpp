#include "cost_estimator.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {

BOOST_AUTO_TEST_SUITE(cost_estimator_test)

BOOST_AUTO_TEST_CASE(cost_is_estimated_separately_for_each_profile_and_account)
{
    const auto north = account_key::of("north");
    const auto south = account_key::of("south");
    cost_estimator estimator;
    BOOST_TEST(estimator.estimate("draft", north, {}, 7.0) == 7.0);
    for (int n = 0; n < 100; ++n) {
        estimator.learn("draft", north, {}, 40.0);
    }
    BOOST_TEST(estimator.estimate("draft", north, {}, 7.0) == 40.0);
    BOOST_TEST(estimator.estimate("draft", south, {}, 7.0) == 7.0);
    BOOST_TEST(estimator.estimate("history", north, {}, 7.0) == 7.0);
}

BOOST_AUTO_TEST_CASE(hint_is_multiplied_by_the_mean_ratio_of_cost_to_hint)
{
    const auto north = account_key::of("north");
    cost_estimator estimator;
    BOOST_TEST(estimator.estimate("draft", north, 50.0, 7.0) == 50.0);
    for (int n = 0; n < 100; ++n) {
        estimator.learn("draft", north, 50.0, 100.0);
    }
    BOOST_TEST(estimator.estimate("draft", north, 30.0, 7.0) == 60.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
