#include "nonblocking_log.hpp"

#include "../event_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace hemlocknotch::daemon {

nonblocking_log::nonblocking_log(int fd, std::string instance, std::function<instant()> now)
    : fd_{fd}, instance_{std::move(instance)}, now_{std::move(now)}
{
    const int flags = fcntl(fd, F_GETFL);
    if (flags >= 0) {
        static_cast<void>(fcntl(fd, F_SETFL, flags | O_NONBLOCK));
    }
    const auto begin = now_();
    for (std::size_t n = 0; n < budgets_.size(); ++n) {
        budgets_.at(n) = {lines_per_second.at(n) * burst_seconds, begin};
    }
}

bool nonblocking_log::try_acquire(log_level level)
{
    const auto n = static_cast<std::size_t>(level);
    auto& it = budgets_.at(n);
    const auto now = now_();
    const std::chrono::duration<double> passed = now - it.refilled_at;
    it.refilled_at = now;
    it.lines =
        std::min(lines_per_second.at(n) * burst_seconds, it.lines + passed.count() * lines_per_second.at(n));
    if (it.lines < 1.0) {
        ++dropped_count_;
        return false;
    }
    it.lines -= 1.0;
    return true;
}

void nonblocking_log::write(const log_effect& record)
{
    append(record, max_pending_bytes - reserved_bytes);
}

void nonblocking_log::write_state(const log_effect& record)
{
    append(record, max_pending_bytes);
}

void nonblocking_log::append(const log_effect& record, std::size_t limit)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto line = log_line(record, log_format::json, std::to_string(time.count()), instance_);
    if (const auto now = now_();
        dropped_count_ != reported_dropped_count_ && now - drops_reported_at_ >= drop_report_interval) {
        const auto n = std::to_string(dropped_count_ - reported_dropped_count_);
        line += "\n" + log_line({log_level::info, "log-lines-left-out", {{"lines", n}}}, log_format::json,
                                std::to_string(time.count()), instance_);
        reported_dropped_count_ = dropped_count_;
        drops_reported_at_ = now;
    }
    line += '\n';
    if (pending_.size() + line.size() > limit) {
        ++dropped_count_;
    }
    else {
        pending_ += line;
    }
    flush();
}

void nonblocking_log::flush()
{
    while (!pending_.empty()) {
        const auto n = ::write(fd_, pending_.data(), pending_.size());
        if (n > 0) {
            pending_.erase(0, static_cast<std::size_t>(n));
        }
        else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return;
        }
        else {
            // The reader has closed its end, so that nothing can be written any more.
            dropped_count_ += static_cast<std::uint64_t>(std::ranges::count(pending_, '\n'));
            pending_.clear();
        }
    }
}

} // namespace hemlocknotch::daemon
