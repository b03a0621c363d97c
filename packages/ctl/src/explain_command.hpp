#pragma once

#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"

#include <boost/leaf.hpp>

namespace hemlocknotch {

/// Writes what the gateways' log files say of one request, in the order of the files, and what the lines
/// mean. Fails with a `command_error`.
boost::leaf::result<exit_code> run_explain(const command_options& options, const command_output& output);

} // namespace hemlocknotch
