#pragma once

namespace hemlocknotch::daemon {

/// Runs `hemlocknotchd` with these arguments and returns its exit code: 0 for success and a planned stop, 1
/// where it could not run, 2 for bad usage or settings.
int run_command_line(int argc, char** argv);

} // namespace hemlocknotch::daemon
