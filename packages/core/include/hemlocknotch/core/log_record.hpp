#pragma once

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

} // namespace hemlocknotch
