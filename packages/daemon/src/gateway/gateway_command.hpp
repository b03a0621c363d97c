#pragma once

#include <string>

namespace hemlocknotch::daemon {

/// Runs a gateway with the settings file at `path` until it is stopped. With `is_check_only` only checks the
/// file. Returns the exit code of the process: 0 on success, 1 where the gateway could not start, 2 where the
/// settings have errors.
int run_gateway(const std::string& path, bool is_check_only);

} // namespace hemlocknotch::daemon
