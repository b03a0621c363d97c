#pragma once

#include <string_view>

namespace hemlocknotch::daemon {

/// From now on an end of this process by an uncaught exception, a failed assertion or a memory fault leaves a
/// last line in the log on standard output; the process then ends as it would have. `instance` goes into the
/// lines. Call once, before other threads start.
void install_crash_log(std::string_view instance);

} // namespace hemlocknotch::daemon
