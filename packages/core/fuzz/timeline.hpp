#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace hemlocknotch::fuzz {

/// The shuffled queue: things that happen at times drawn from a seed, and the seed's random numbers.
class timeline {
public:
    explicit timeline(std::uint64_t seed) : random_{seed} {}

    [[nodiscard]] instant now() const { return now_; }

    /// Does `action` after `delay`.
    void after(duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

    void at(instant when, std::function<void()> action)
    {
        queue_.emplace(std::max(when, now_), std::move(action));
    }

    /// Does the next thing. Precondition: there is one.
    void step()
    {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key();
        next.mapped()();
    }

    /// Returns a number from `low` to `high`.
    std::uint64_t random_between(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>{low, high}(random_);
    }

    std::uint64_t random_bits() { return random_(); }

    /// Returns true once in `n` times.
    bool one_in(std::uint64_t n) { return random_between(1, n) == 1; }

    /// Returns a time between two numbers of microseconds.
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
