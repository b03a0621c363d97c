#pragma once

namespace hemlocknotch::daemon {

/// Runs `hemlocknotchd` with these arguments. Returns its exit code: 0 for success and a planned stop, 1 if
/// it could not run, 2 for invalid arguments or settings.
int run_command_line(int argc, char** argv);

} // namespace hemlocknotch::daemon
