#pragma once

#include <hemlocknotch/core/log_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Format of log lines.
enum class log_format : std::uint8_t {
    /// One JSON object per line.
    json,
    /// `time level event name=value ...`, for human readers.
    text,
};

/// Parses `debug`, `info`, `warning` or `error`. Returns nothing for any other text.
std::optional<log_level> parse_log_level(std::string_view text);

/// Returns `record` as one line without the line break. Pure.
std::string log_line(const log_effect& record, log_format format, std::string_view time,
                     std::string_view process_name);

/// Structured log on stderr, written by log4cplus, one line per event. Each process has one.
class event_log {
public:
    event_log(log_level level, log_format format, std::string process_name);

    /// Writes `record` unless its level is below the lowest level that is written.
    void write(const log_effect& record);

    /// Changes the lowest level that is written.
    void set_level(log_level level) { level_ = level; }

private:
    log_level level_;
    log_format format_;
    std::string process_name_;
};

} // namespace hemlocknotch::daemon
