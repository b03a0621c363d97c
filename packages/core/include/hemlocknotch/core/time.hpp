#pragma once

#include <chrono>
#include <cstdint>

/// Time types of the reducers. The time is passed in with each event and never read from a clock.
namespace hemlocknotch {

/// A span of time, in microseconds.
using duration = std::chrono::microseconds;

/// Clock type of `instant`. It has no `now()`: the shell timestamps each event with its monotonic clock.
struct event_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<event_clock>;
    static constexpr bool is_steady = true;
};

/// A point on the monotonic clock of one process. Must not be compared between processes.
using instant = event_clock::time_point;

} // namespace hemlocknotch
