#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch {

/// Severity of a log line.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// One name and value of a log line.
struct log_field {
    std::string name;
    std::string value;
};

/// Effect of every reducer: write one structured log line.
struct log_effect {
    log_level level = log_level::info;
    /// Identifier of what happened, such as `link-closed`.
    std::string event;
    std::vector<log_field> fields;
};

/// Returns `value` in whole milliseconds, as log fields give it. Thread-safe.
inline std::string milliseconds_text(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace hemlocknotch
