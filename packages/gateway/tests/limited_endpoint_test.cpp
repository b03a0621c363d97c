#include "fault_fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

/// Bounds of the platform: from `contact_bound` after a limit was first stated, at most this number of
/// requests reaches the endpoint within any `limit_window`.
constexpr duration contact_bound = std::chrono::seconds{3};
constexpr duration limit_window = std::chrono::seconds{4};

std::size_t max_requests(double limit)
{
    return static_cast<std::size_t>(1.5 * 4.0 * limit + 5.0);
}

/// Sends `per_second` requests with 20 different shared parts.
void run_with(fault_fleet& fleet, duration length, std::uint64_t per_second)
{
    constexpr std::uint64_t steps_per_second = 100;
    std::uint64_t steps = 0;
    std::uint64_t sent = 0;
    fleet.run(length, [&] {
        for (++steps; sent * steps_per_second < steps * per_second; ++sent) {
            fleet.send({1 + sent % 3, 100 + sent % 20});
        }
    });
}

BOOST_AUTO_TEST_SUITE(limited_endpoint_suite)

BOOST_AUTO_TEST_CASE(an_endpoint_gets_no_more_requests_than_it_states_to_take)
{
    constexpr double limit = 4.5;
    for (const std::uint64_t seed : {1, 2, 3}) {
        fault_fleet fleet{{.seed = seed}};
        run_with(fleet, std::chrono::seconds{3}, 120);
        fleet.set_limits(6, limit);
        const auto from = fleet.now() + contact_bound;
        run_with(fleet, std::chrono::seconds{20}, 120);
        BOOST_TEST(fleet.max_arrivals_at_limited(limit_window, from) <= max_requests(limit));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
