#include <hemlocknotch/standins/prefix_cache.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(prefix_cache_test)

using hemlocknotch::instant;
using hemlocknotch::standins::prefix_cache;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(keeps_the_last_used)
{
    prefix_cache cache{2, 0};
    const instant at{};
    BOOST_TEST(!cache.use(1, at));
    BOOST_TEST(!cache.use(2, at));
    BOOST_TEST(cache.use(1, at));
    BOOST_TEST(!cache.use(3, at));
    BOOST_TEST(cache.use(1, at));
    BOOST_TEST(!cache.use(2, at));
}

BOOST_AUTO_TEST_CASE(events_come_late_and_with_gaps)
{
    prefix_cache cache{8, 2};
    const instant start{};
    cache.use(1, start);
    cache.use(2, start + 1s);
    cache.use(3, start + 2s);
    BOOST_TEST(cache.events_after(0, start + 1s).size() == 1U);
    const auto events = cache.events_after(1, start + 2s);
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST(events.front().prefix == 3U);
    BOOST_TEST(events.front().number == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
