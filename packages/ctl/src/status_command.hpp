#pragma once

#include "command_context.hpp"
#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"

#include <boost/leaf.hpp>

namespace hemlocknotch {

/// Writes what each daemon of the instance list reports and what operators look at first, once or again and
/// again. Fails with a `command_error`.
boost::leaf::result<exit_code> run_status(command_context& context, const command_options& options,
                                          const command_output& output);

} // namespace hemlocknotch
