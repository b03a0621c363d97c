#pragma once

#include <hemlocknotch/coordination/configuration_document.hpp>
#include <hemlocknotch/core/process_identity.hpp>

#include "settings.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Result of parsing a settings file: the settings, or all errors.
struct settings_parse_result {
    std::optional<settings> accepted;
    std::vector<document_error> errors;
};

/// Parses and checks the settings of a daemon of `role` (JSON with comments). Reports all errors at once:
/// unknown or repeated keys, wrong types, values out of range, missing settings and invalid combinations.
/// Pure.
settings_parse_result parse_settings(std::string_view text, process_role role);

} // namespace hemlocknotch::daemon
