#include "crashing_fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

constexpr std::uint64_t guilty_part = 900;
/// Bound of the platform: later than this after the fifth end, at most three requests with the part may reach
/// endpoints.
constexpr duration contact_bound = std::chrono::seconds{3};
constexpr std::size_t max_late_arrivals = 3;

/// Sends 60 sound requests per second, which share their first part and 20 second parts, and four requests
/// per second with the guilty part.
void run_with_guilty_part(crashing_fleet& fleet, duration length)
{
    std::uint64_t n = 0;
    fleet.run(length, [&] {
        ++n;
        if (n % 5 < 3) {
            fleet.send({1 + n % 3, 100 + n % 20});
        }
        if (n % 25 == 0) {
            fleet.send({1 + n % 3, guilty_part});
        }
    });
}

BOOST_AUTO_TEST_SUITE(crashing_part_suite)

BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_endpoints_stop_reaching_them)
{
    for (const auto* target : {"/resume/x", "/stream/x"}) {
        crashing_fleet fleet{{.target = target}};
        fleet.guilty = {guilty_part};
        run_with_guilty_part(fleet, std::chrono::seconds{30});
        BOOST_TEST(fleet.guilty_arrivals_after_end(5, contact_bound) <= max_late_arrivals);
    }
}

BOOST_AUTO_TEST_CASE(sound_requests_are_served_while_others_crash_endpoints)
{
    crashing_fleet fleet{{}};
    fleet.guilty = {guilty_part};
    run_with_guilty_part(fleet, std::chrono::seconds{6});
    const auto requests = fleet.counts.sound_requests;
    const auto answers = fleet.counts.sound_answers;
    run_with_guilty_part(fleet, std::chrono::seconds{24});
    BOOST_TEST((fleet.counts.sound_answers - answers) * 2 >= fleet.counts.sound_requests - requests);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
