#pragma once

#include <ostream>

namespace hemlocknotch {

/// Runs `hemlocknotchctl` with a command line. Results go to `out`, messages to `err`. Returns the exit code.
int run_program(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

} // namespace hemlocknotch
