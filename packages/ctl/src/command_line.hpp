#pragma once

#include "command_options.hpp"

#include <optional>
#include <ostream>

namespace hemlocknotch {

/// Outcome of reading a command line: what to do, or the exit code where that is all.
struct command_line_reading {
    std::optional<command_options> options;
    int exit_code = 0;
};

/// Reads a command line and the environment. Help and version go to `out`, faults to `err`.
command_line_reading read_command_line(int argc, const char* const* argv, std::ostream& out,
                                       std::ostream& err);

} // namespace hemlocknotch
