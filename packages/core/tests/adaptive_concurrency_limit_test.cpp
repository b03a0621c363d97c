#include <hemlocknotch/core/adaptive_concurrency_limit.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

using namespace hemlocknotch;

namespace {

constexpr double cold_capacity = 2.0;
constexpr double warm_capacity = 16.0;
constexpr double base_seconds = 0.02;
constexpr double step_growth = 0.03;
constexpr double failure_load_factor = 1.5;
constexpr double failure_after_seconds = 1.0;

/// Returns the duration in seconds of one step with `batch` requests: linear in `batch` up to `capacity`,
/// multiplied by the cube of the excess above it.
double step_seconds(double batch, double capacity)
{
    return base_seconds * (1.0 + step_growth * batch) * std::pow(std::max(1.0, batch / capacity), 3.0);
}

/// Simulates an engine with continuous batching that warms up while it works, and a client that always has
/// more requests.
struct engine_run {
    engine_run(double warm_up_seconds, std::uint64_t seed) : warm_up{warm_up_seconds}, random{seed} {}

    double capacity() const
    {
        return cold_capacity + (warm_capacity - cold_capacity) * std::min(1.0, worked_seconds / warm_up);
    }

    void admit(std::size_t wanted)
    {
        std::lognormal_distribution<double> cost{std::log(300.0), 1.0};
        while (remaining.size() < std::min<std::size_t>(limit.limit(), wanted)) {
            remaining.push_back(1.0 + std::min(3000.0, cost(random)));
            is_new.push_back(true);
        }
    }

    /// Simulates one step of the batch, in which each running request yields one unit.
    void step()
    {
        const auto batch = static_cast<double>(remaining.size());
        std::uniform_real_distribution<double> jitter{0.95, 1.05};
        const double seconds = step_seconds(batch, capacity()) * jitter(random);
        overloaded_seconds = batch > failure_load_factor * capacity() ? overloaded_seconds + seconds : 0.0;
        has_failed = has_failed || overloaded_seconds > failure_after_seconds;
        worked_seconds += seconds;
        const auto interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
        now += interval;
        units += batch;
        const auto running = static_cast<std::uint32_t>(remaining.size());
        for (std::size_t n = 0; n < remaining.size(); ++n) {
            limit.on_unit(now, interval, is_new[n], running);
            is_new[n] = false;
            remaining[n] -= 1.0;
        }
        for (std::size_t n = remaining.size(); n-- > 0;) {
            if (remaining[n] < 1.0) {
                limit.on_completed(now, interval, running);
                remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(n));
                is_new.erase(is_new.begin() + static_cast<std::ptrdiff_t>(n));
            }
        }
    }

    double seconds() const { return std::chrono::duration<double>(now.time_since_epoch()).count(); }

    void run(double length, std::size_t wanted = 1000)
    {
        const double end = seconds() + length;
        while (seconds() < end) {
            admit(wanted);
            step();
        }
    }

    /// Runs for `length` seconds and returns the units per second.
    double rate(double length)
    {
        const double before = units;
        const double start = seconds();
        run(length);
        return (units - before) / (seconds() - start);
    }

    double warm_up;
    std::mt19937_64 random;
    adaptive_concurrency_limit limit{adaptive_limit_options{}};
    instant now;
    std::vector<double> remaining;
    std::vector<bool> is_new;
    double worked_seconds = 0.0;
    double overloaded_seconds = 0.0;
    double units = 0.0;
    bool has_failed = false;
};

constexpr std::uint64_t seeds = 200;

/// Units per second of a warm engine at its capacity.
const double warm_rate = warm_capacity / step_seconds(warm_capacity, warm_capacity);

} // namespace

BOOST_AUTO_TEST_SUITE(adaptive_concurrency_limit_test)

BOOST_AUTO_TEST_CASE(cold_engine_never_fails_from_overload_and_is_used_within_twice_its_warm_up)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const double warm_up = seed % 2 == 0 ? 10.0 : 20.0;
        engine_run it{warm_up, seed};
        it.run(2.0 * warm_up);
        const double rate = it.rate(10.0);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!it.has_failed);
            BOOST_TEST(rate >= 0.9 * warm_rate);
        }
    }
}

BOOST_AUTO_TEST_CASE(engine_that_fails_its_requests_and_becomes_cold_unannounced_does_not_fail_from_overload)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        engine_run it{20.0, seed};
        it.run(60.0);
        it.worked_seconds = 0.0;
        for (std::size_t n = 0; n < it.remaining.size(); ++n) {
            it.limit.on_failed(it.now);
        }
        it.remaining.clear();
        it.is_new.clear();
        it.run(40.0);
        const double rate = it.rate(10.0);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!it.has_failed);
            BOOST_TEST(rate >= 0.9 * warm_rate);
        }
    }
}

BOOST_AUTO_TEST_CASE(engine_that_becomes_cold_unnoticed_at_low_load_does_not_fail_from_overload)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        engine_run it{20.0, seed};
        it.run(60.0);
        while (static_cast<double>(it.remaining.size()) > cold_capacity) {
            it.run(1.0, 2);
        }
        const double proven_seconds =
            std::chrono::duration<double>(adaptive_limit_options{}.validation_time).count();
        it.run(proven_seconds + 1.0 + static_cast<double>(seed % 10), 2);
        it.worked_seconds = 0.0;
        it.run(0.5, 2);
        it.run(40.0);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!it.has_failed);
        }
    }
}

BOOST_AUTO_TEST_CASE(limit_returns_to_its_initial_value_when_the_endpoint_becomes_cold)
{
    engine_run it{20.0, 1};
    it.run(60.0);
    BOOST_TEST(it.limit.limit() > 8U);
    it.limit.on_cold(it.now);
    BOOST_TEST(it.limit.limit() == adaptive_limit_options{}.initial_limit);
}

BOOST_AUTO_TEST_CASE(limit_without_units_rises_on_success_and_is_halved_on_failure)
{
    adaptive_concurrency_limit limit{adaptive_limit_options{}};
    instant now;
    for (int n = 0; n < 10; ++n) {
        now += std::chrono::milliseconds{10};
        limit.on_completed(now, std::chrono::milliseconds{5}, limit.limit());
    }
    const std::uint32_t grown = limit.limit();
    BOOST_TEST(grown == 12U);
    limit.on_failed(now);
    BOOST_TEST(limit.limit() == grown / 2);
}

BOOST_AUTO_TEST_SUITE_END()
