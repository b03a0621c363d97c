#pragma once

#include <hemlocknotch/core/process_identity.hpp>

#include <optional>
#include <string>

namespace hemlocknotch::daemon {

/// Returns the reference of all settings as a Markdown table: key, daemons, unit, allowed values, default,
/// meaning. If `role` is given, it contains only the settings of a daemon of that role.
std::string settings_reference(std::optional<process_role> role);

} // namespace hemlocknotch::daemon
