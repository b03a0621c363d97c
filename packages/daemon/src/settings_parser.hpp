#pragma once

#include <hemlocknotch/coordination/configuration_document.hpp>
#include <hemlocknotch/core/process_identity.hpp>

#include "settings.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Outcome of reading a settings file: settings, or all of its faults.
struct settings_parse_result {
    std::optional<settings> accepted;
    std::vector<document_error> errors;
};

/// Reads and checks the settings of a daemon of `role` (JSON with comments). All faults are reported at once:
/// unknown or repeated key, wrong type, out of range, missing, combinations that cannot work. Pure.
settings_parse_result parse_settings(std::string_view text, process_role role);

} // namespace hemlocknotch::daemon
