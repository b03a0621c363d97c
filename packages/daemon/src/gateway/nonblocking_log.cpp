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

bool nonblocking_log::wants(log_level level)
{
    const auto n = static_cast<std::size_t>(level);
    auto& it = budgets_.at(n);
    const auto now = now_();
    const std::chrono::duration<double> passed = now - it.refilled_at;
    it.refilled_at = now;
    it.lines =
        std::min(lines_per_second.at(n) * burst_seconds, it.lines + passed.count() * lines_per_second.at(n));
    if (it.lines < 1.0) {
        ++left_out_;
        return false;
    }
    it.lines -= 1.0;
    return true;
}

void nonblocking_log::write(const log_effect& record)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto line = log_line(record, log_format::json, std::to_string(now.count()), instance_);
    if (left_out_ != told_left_out_) {
        const auto n = std::to_string(left_out_ - told_left_out_);
        line += "\n" + log_line({log_level::info, "log-lines-left-out", {{"lines", n}}}, log_format::json,
                                std::to_string(now.count()), instance_);
        told_left_out_ = left_out_;
    }
    line += '\n';
    if (held_.size() + line.size() > max_held_bytes) {
        ++left_out_;
    }
    else {
        held_ += line;
    }
    flush();
}

void nonblocking_log::flush()
{
    while (!held_.empty()) {
        const auto n = ::write(fd_, held_.data(), held_.size());
        if (n > 0) {
            held_.erase(0, static_cast<std::size_t>(n));
        }
        else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return;
        }
        else {
            // The reader has gone; lines are of use to nobody.
            left_out_ += static_cast<std::uint64_t>(std::ranges::count(held_, '\n'));
            held_.clear();
        }
    }
}

} // namespace hemlocknotch::daemon
