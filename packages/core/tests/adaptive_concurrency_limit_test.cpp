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
constexpr double failing_load = 1.5;
constexpr double failing_after_seconds = 1.0;

/// Seconds of one step with `batch` requests at `capacity`: linear up to it, with the cube of the excess
/// above.
double step_seconds(double batch, double capacity)
{
    return base_seconds * (1.0 + step_growth * batch) * std::pow(std::max(1.0, batch / capacity), 3.0);
}

/// An engine with continuous batching that is warmed by work, and a client that always has more work.
struct engine_run {
    engine_run(double warm_up_seconds, std::uint64_t seed) : warm_up{warm_up_seconds}, random{seed} {}

    double capacity() const
    {
        return cold_capacity + (warm_capacity - cold_capacity) * std::min(1.0, worked / warm_up);
    }

    void admit(std::size_t wanted)
    {
        std::lognormal_distribution<double> cost{std::log(300.0), 1.0};
        while (left.size() < std::min<std::size_t>(limit.limit(), wanted)) {
            left.push_back(1.0 + std::min(3000.0, cost(random)));
            is_new.push_back(true);
        }
    }

    /// One step of the batch: each running request yields one unit.
    void step()
    {
        const auto batch = static_cast<double>(left.size());
        std::uniform_real_distribution<double> jitter{0.95, 1.05};
        const double seconds = step_seconds(batch, capacity()) * jitter(random);
        overloaded = batch > failing_load * capacity() ? overloaded + seconds : 0.0;
        has_fallen_over = has_fallen_over || overloaded > failing_after_seconds;
        worked += seconds;
        const auto interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
        now += interval;
        units += batch;
        const auto running = static_cast<std::uint32_t>(left.size());
        for (std::size_t n = 0; n < left.size(); ++n) {
            limit.on_unit(now, interval, is_new[n], running);
            is_new[n] = false;
            left[n] -= 1.0;
        }
        for (std::size_t n = left.size(); n-- > 0;) {
            if (left[n] < 1.0) {
                limit.on_completed(now, interval, running);
                left.erase(left.begin() + static_cast<std::ptrdiff_t>(n));
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

    /// Units a second over the next `length` seconds.
    double rate(double length)
    {
        const double before = units;
        const double began = seconds();
        run(length);
        return (units - before) / (seconds() - began);
    }

    double warm_up;
    std::mt19937_64 random;
    adaptive_concurrency_limit limit{adaptive_limit_options{}};
    instant now;
    std::vector<double> left;
    std::vector<bool> is_new;
    double worked = 0.0;
    double overloaded = 0.0;
    double units = 0.0;
    bool has_fallen_over = false;
};

constexpr std::uint64_t seeds = 200;

/// Rate of a warm engine at its capacity.
const double warm_rate = warm_capacity / step_seconds(warm_capacity, warm_capacity);

} // namespace

BOOST_AUTO_TEST_SUITE(adaptive_concurrency_limit_test)

BOOST_AUTO_TEST_CASE(cold_engine_never_falls_over_and_is_used_within_twice_its_warm_up)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const double warm_up = seed % 2 == 0 ? 10.0 : 20.0;
        engine_run it{warm_up, seed};
        it.run(2.0 * warm_up);
        const double rate = it.rate(10.0);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!it.has_fallen_over);
            BOOST_TEST(rate >= 0.9 * warm_rate);
        }
    }
}

BOOST_AUTO_TEST_CASE(engine_that_breaks_its_work_and_turns_cold_unannounced_does_not_fall_over)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        engine_run it{20.0, seed};
        it.run(60.0);
        it.worked = 0.0;
        for (std::size_t n = 0; n < it.left.size(); ++n) {
            it.limit.on_failed(it.now);
        }
        it.left.clear();
        it.is_new.clear();
        it.run(40.0);
        const double rate = it.rate(10.0);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!it.has_fallen_over);
            BOOST_TEST(rate >= 0.9 * warm_rate);
        }
    }
}

BOOST_AUTO_TEST_CASE(engine_that_turned_cold_unseen_while_little_ran_does_not_fall_over)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        engine_run it{20.0, seed};
        it.run(60.0);
        while (static_cast<double>(it.left.size()) > cold_capacity) {
            it.run(1.0, 2);
        }
        const double proven_seconds =
            std::chrono::duration<double>(adaptive_limit_options{}.validation_time).count();
        it.run(proven_seconds + 1.0 + static_cast<double>(seed % 10), 2);
        it.worked = 0.0;
        it.run(0.5, 2);
        it.run(40.0);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!it.has_fallen_over);
        }
    }
}

BOOST_AUTO_TEST_CASE(new_incarnation_starts_small)
{
    engine_run it{20.0, 1};
    it.run(60.0);
    BOOST_TEST(it.limit.limit() > 8U);
    it.limit.on_cold(it.now);
    BOOST_TEST(it.limit.limit() == adaptive_limit_options{}.initial_limit);
}

BOOST_AUTO_TEST_CASE(service_without_units_grows_on_success_and_falls_on_failure)
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
