#pragma once

#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"

#include <boost/leaf.hpp>

namespace hemlocknotch {

/// Writes one request's spans from the daemons' trace files as a tree. Fails with a `command_error`.
boost::leaf::result<exit_code> run_trace(const command_options& options, const command_output& output);

} // namespace hemlocknotch
