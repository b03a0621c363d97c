#include "dispatch_rate.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {

BOOST_AUTO_TEST_SUITE(dispatch_rate_test)

BOOST_AUTO_TEST_CASE(tells_when_the_queue_will_have_been_served)
{
    const auto north = account_key::of("north");
    dispatch_rate rate;
    instant now{std::chrono::seconds{100}};
    BOOST_TEST((rate.time_for_account(north, 1, now) == dispatch_rate::max_retry_after));
    for (int n = 0; n < 1000; ++n) {
        now += std::chrono::milliseconds{100};
        rate.on_dispatch(north, now);
    }
    const std::chrono::duration<double> wanted = rate.time_for_account(north, 50, now);
    BOOST_TEST(wanted.count() > 4.5);
    BOOST_TEST(wanted.count() < 5.5);
    BOOST_TEST((rate.time_for_all(1, now) == dispatch_rate::min_retry_after));
    now += std::chrono::minutes{5};
    BOOST_TEST((rate.time_for_all(1, now) == dispatch_rate::max_retry_after));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
