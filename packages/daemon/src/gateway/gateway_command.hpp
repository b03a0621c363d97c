#pragma once

#include <string>

namespace hemlocknotch::daemon {

/// Runs a gateway with the settings file at `path` until it is stopped, or only checks the file. Returns the
/// exit code of the process.
int run_gateway(const std::string& path, bool is_check);

} // namespace hemlocknotch::daemon
