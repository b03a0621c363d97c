#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace hemlocknotch::fuzz {

/// Event queue with a virtual clock and a seeded random number generator. Callers draw the times of their
/// actions from the generator, so that one seed always gives the same run.
class timeline {
public:
    explicit timeline(std::uint64_t seed) : random_{seed} {}

    [[nodiscard]] instant now() const { return now_; }

    /// Schedules `action` to run `delay` from now.
    void after(duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

    /// Schedules `action` to run at `when`, or now if `when` is in the past.
    void at(instant when, std::function<void()> action)
    {
        queue_.emplace(std::max(when, now_), std::move(action));
    }

    /// Advances the clock to the next action and runs it. Precondition: an action is scheduled.
    void step()
    {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key();
        next.mapped()();
    }

    /// Returns a random number from `low` to `high`, both included.
    std::uint64_t random_between(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>{low, high}(random_);
    }

    /// Returns 64 random bits.
    std::uint64_t random_bits() { return random_(); }

    /// Returns true with a probability of 1 in `n`.
    bool one_in(std::uint64_t n) { return random_between(1, n) == 1; }

    /// Returns a random duration from `low` to `high` microseconds, both included.
    duration random_duration(std::uint64_t low, std::uint64_t high)
    {
        return duration{static_cast<duration::rep>(random_between(low, high))};
    }

private:
    instant now_{std::chrono::hours{1}};
    std::multimap<instant, std::function<void()>> queue_;
    std::mt19937_64 random_;
};

} // namespace hemlocknotch::fuzz
