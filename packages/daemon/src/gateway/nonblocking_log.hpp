#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/core/time.hpp>

#include "../libevent_handles.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace hemlocknotch::daemon {

/// Structured log on a file descriptor, one JSON object a line, that never blocks. Lines that the reader does
/// not consume are buffered up to a limit and then dropped, and a token bucket limits the rate of each level.
/// Lines on the state of the process are exempt from the token buckets. Dropped lines are counted. Used by
/// one thread at a time.
class nonblocking_log {
public:
    /// Maximum number of lines per second of each level, from debug to error. Successes are logged at the
    /// lower levels, whose smaller budgets sample them; failures are to be kept.
    static constexpr std::array<double, 4> lines_per_second{5.0, 30.0, 50.0, 50.0};
    /// Size of the token buckets, in seconds of their rates.
    static constexpr double burst_seconds = 2.0;
    /// Maximum number of bytes that are buffered for a slow reader.
    static constexpr std::size_t max_pending_bytes = std::size_t{128} << 10U;
    /// Part of the buffer that is reserved for lines on the state of the process.
    static constexpr std::size_t reserved_bytes = std::size_t{32} << 10U;
    /// Shortest time between two lines that report dropped ones.
    static constexpr duration drop_report_interval = std::chrono::seconds{1};

    /// Sets `fd` to non-blocking mode. `instance` goes into each line; `now` returns the monotonic time.
    nonblocking_log(int fd, std::string instance, std::function<instant()> now);

    /// Takes a line of `level` from the budget. Returns false, and counts the line as dropped, where the
    /// budget is used up.
    bool try_acquire(log_level level);

    /// Writes a line that `try_acquire` has admitted, or drops it where the buffer is full.
    void write(const log_effect& record);

    /// Writes a line on the state of the process, such as a lost dependency, whatever the budgets say. Only
    /// the buffer limits these lines.
    void write_state(const log_effect& record);

    /// Returns the number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped_count() const { return dropped_count_; }

private:
    struct budget {
        double lines = 0.0;
        instant refilled_at{};
    };

    void append(const log_effect& record, std::size_t limit);
    void flush();

    int fd_;
    std::string instance_;
    std::function<instant()> now_;
    std::array<budget, 4> budgets_;
    std::string pending_;
    std::uint64_t dropped_count_ = 0;
    /// Dropped lines that a "log-lines-left-out" line has reported.
    std::uint64_t reported_dropped_count_ = 0;
    instant drops_reported_at_{};
};

} // namespace hemlocknotch::daemon
