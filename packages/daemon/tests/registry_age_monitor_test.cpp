#include "gateway/registry_age_monitor.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

struct monitor_fixture {
    void check(duration loop_delay = {})
    {
        it.check({.as_of = as_of, .revision = 7, .is_store_reachable = false, .loop_delay = loop_delay}, now);
    }

    std::vector<log_effect> lines;
    registry_age_monitor it{std::chrono::seconds{2},
                            [this](const log_effect& line) { lines.push_back(line); }};
    instant as_of{std::chrono::seconds{100}};
    instant now{std::chrono::seconds{100}};
};

BOOST_FIXTURE_TEST_SUITE(registry_age_monitor_suite, monitor_fixture)

BOOST_AUTO_TEST_CASE(logs_once_when_the_registry_becomes_stale_and_once_when_it_is_current)
{
    check(std::chrono::milliseconds{400});
    now += std::chrono::seconds{2};
    check();
    BOOST_TEST(lines.empty());
    now += std::chrono::milliseconds{1};
    check(std::chrono::milliseconds{300});
    check();
    BOOST_REQUIRE_EQUAL(lines.size(), 1U);
    BOOST_TEST(lines[0].event == "registry-stale");
    BOOST_TEST(lines[0].fields[0].value == "2001");
    BOOST_TEST(lines[0].fields[2].value == "lost");
    BOOST_TEST(lines[0].fields[3].value == "300");
    now += std::chrono::seconds{1};
    as_of = now;
    check();
    BOOST_REQUIRE_EQUAL(lines.size(), 2U);
    BOOST_TEST(lines[1].event == "registry-current");
    BOOST_TEST(lines[1].fields[0].value == "1000");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
