#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>

namespace hemlocknotch::daemon {

/// Clock of a process: monotonic time for events, and its conversion to wall-clock time for spans. Safe for
/// use by several threads.
class process_clock {
public:
    /// Records the current offset between the two clocks, so that later changes of the system's clock do not
    /// reorder spans.
    process_clock();

    /// Returns the monotonic time.
    [[nodiscard]] instant now() const;

    /// Returns the microseconds since 1970-01-01T00:00:00Z at `at`.
    [[nodiscard]] std::int64_t wall_microseconds(instant at) const;

private:
    std::int64_t offset_;
};

} // namespace hemlocknotch::daemon
