#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway::model {

/// Returns `ms` milliseconds.
inline duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

/// Returns `time` in milliseconds.
inline double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

/// Event queue with virtual time. Actions run in order of time, and in order of `add` at equal times. Used by
/// one thread.
class event_queue {
public:
    [[nodiscard]] instant now() const { return now_; }

    /// Runs `action` at `at`, or after everything that is due now if `at` has passed.
    void add(instant at, std::function<void()> action)
    {
        events_.push({std::max(at, now_), ++last_, std::move(action)});
    }

    void add_in(duration delay, std::function<void()> action) { add(now_ + delay, std::move(action)); }

    /// Runs all actions that are due until `end`, and sets the time to `end`.
    void run_until(instant end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            auto action = std::move(events_.top().action);
            now_ = events_.top().at;
            events_.pop();
            action();
        }
        now_ = end;
    }

private:
    struct event {
        instant at;
        std::uint64_t order = 0;
        /// Mutable, because `std::priority_queue::top` is read-only and the action is moved out of it.
        mutable std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair{other.at, other.order} < std::pair{at, order};
        }
    };

    instant now_{std::chrono::seconds{1000}};
    std::uint64_t last_ = 0;
    std::priority_queue<event> events_;
};

} // namespace hemlocknotch::gateway::model
