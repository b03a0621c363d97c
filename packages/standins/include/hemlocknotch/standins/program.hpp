#pragma once

#include <CLI/CLI.hpp>

#include <functional>

namespace hemlocknotch::standins {

/// Reads `app`'s options from the command line and calls `action`. Returns the exit code: 0, CLI11's own, or
/// 1 with a line on stderr where `action` throws.
int run_program(CLI::App& app, int argc, char** argv, const std::function<void()>& action);

} // namespace hemlocknotch::standins
