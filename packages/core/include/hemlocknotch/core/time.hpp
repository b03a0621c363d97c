#pragma once

#include <chrono>
#include <cstdint>

/// Time as the reducers see it: carried in events, never read from a clock.
namespace hemlocknotch {

/// A span of time, in microseconds.
using duration = std::chrono::microseconds;

/// The clock tag of `instant`. It has no `now()`: the shell stamps each event with its monotonic clock.
struct event_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<event_clock>;
    static constexpr bool is_steady = true;
};

/// A point on the monotonic clock of one process. Never compared between processes.
using instant = event_clock::time_point;

} // namespace hemlocknotch
