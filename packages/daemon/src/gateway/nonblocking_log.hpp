#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/core/time.hpp>

#include "../libevent_handles.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace hemlocknotch::daemon {

/// Structured log on a file descriptor, one JSON object a line, that never blocks: what the reader does not
/// take is held up to a limit and then left out, and each level has a budget of lines. What is left out is
/// counted. Used by one thread at a time.
class nonblocking_log {
public:
    /// Most lines of one level in a second, from debug to error: successes are sampled, failures kept.
    static constexpr std::array<double, 4> lines_per_second{5.0, 30.0, 50.0, 50.0};
    /// Seconds of the budget that may be used at once.
    static constexpr double burst_seconds = 2.0;
    /// Bytes that are held for a slow reader.
    static constexpr std::size_t max_held_bytes = std::size_t{128} << 10U;

    /// Makes `fd` non-blocking. `now` is the monotonic clock.
    nonblocking_log(int fd, std::string instance, std::function<instant()> now);

    /// Returns whether a line of `level` would be written now; counts it as left out if not.
    bool wants(log_level level);

    /// Writes a line.
    void write(const log_effect& record);

    /// Returns the lines left out so far.
    [[nodiscard]] std::uint64_t left_out() const { return left_out_; }

private:
    struct budget {
        double lines = 0.0;
        instant refilled_at{};
    };

    void flush();

    int fd_;
    std::string instance_;
    std::function<instant()> now_;
    std::array<budget, 4> budgets_;
    std::string held_;
    std::uint64_t left_out_ = 0;
    std::uint64_t told_left_out_ = 0;
};

} // namespace hemlocknotch::daemon
