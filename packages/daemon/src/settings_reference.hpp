#pragma once

#include <hemlocknotch/core/process_identity.hpp>

#include <optional>
#include <string>

namespace hemlocknotch::daemon {

/// Returns the reference of all settings as a Markdown table: key, daemons, unit, what is allowed, default,
/// meaning. With `role`, only the settings that a daemon of that role has.
std::string settings_reference(std::optional<process_role> role);

} // namespace hemlocknotch::daemon
