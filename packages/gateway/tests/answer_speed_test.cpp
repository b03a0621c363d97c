#include <hemlocknotch/gateway/answer_speed.hpp>

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

namespace hemlocknotch::gateway {

BOOST_AUTO_TEST_SUITE(answer_speed_suite)

BOOST_AUTO_TEST_CASE(an_answer_is_slow_by_the_usual_time_of_its_route)
{
    answer_speed it;
    std::minstd_rand random{1};
    std::uniform_real_distribution<double> spread{0.8, 1.2};
    for (int n = 0; n < 500; ++n) {
        it.note("fast", 0.1 * spread(random));
        it.note("slow", 1.0 * spread(random));
    }
    BOOST_CHECK(!it.is_slow("fast", 0.2));
    BOOST_CHECK(it.is_slow("fast", 0.4));
    BOOST_CHECK(!it.is_slow("slow", 2.0));
    BOOST_CHECK(it.is_slow("slow", 4.0));
}

BOOST_AUTO_TEST_CASE(nothing_is_slow_before_enough_answers)
{
    answer_speed it;
    BOOST_CHECK(!it.is_slow("route", 100.0));
    for (std::uint64_t n = 0; n < answer_speed::min_answers; ++n) {
        BOOST_CHECK(!it.is_slow("route", 100.0));
        it.note("route", 0.1);
    }
    BOOST_CHECK(it.is_slow("route", 100.0));
}

/// Guards against memory that grows with the names of routes.
BOOST_AUTO_TEST_CASE(routes_beyond_the_maximum_are_not_known)
{
    answer_speed it;
    for (std::size_t n = 0; n < answer_speed::max_routes; ++n) {
        it.note(std::to_string(n), 1.0);
    }
    for (std::uint64_t n = 0; n < answer_speed::min_answers; ++n) {
        it.note("further", 1.0);
    }
    BOOST_CHECK(!it.is_slow("further", 100.0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
