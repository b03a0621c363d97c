#pragma once

#include <hemlocknotch/core/log_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// How log lines look.
enum class log_format : std::uint8_t {
    /// One JSON object a line.
    json,
    /// `level event name=value ...`, for people.
    text,
};

/// Reads `debug`, `info`, `warning` or `error`. Returns nothing on other text.
std::optional<log_level> parse_log_level(std::string_view text);

/// Returns `record` as one line without its end. Pure.
std::string log_line(const log_effect& record, log_format format, std::string_view time,
                     std::string_view process_name);

/// Structured log to stderr by log4cplus, one line an event. There is one for each process.
class event_log {
public:
    event_log(log_level level, log_format format, std::string process_name);

    /// Writes `record` if its level is that of the settings or above.
    void write(const log_effect& record);

    /// Changes the lowest level that is written.
    void set_level(log_level level) { level_ = level; }

private:
    log_level level_;
    log_format format_;
    std::string process_name_;
};

} // namespace hemlocknotch::daemon
