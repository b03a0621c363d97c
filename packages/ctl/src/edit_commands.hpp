#pragma once

#include <hemlocknotch/ctl/edit_result.hpp>

#include "command_context.hpp"
#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"

#include <boost/leaf.hpp>

namespace hemlocknotch {

/// Puts a document in force. Fails with a `command_error`.
boost::leaf::result<exit_code> run_apply(command_context& context, const command_options& options,
                                         const command_output& output);

/// Takes a failure domain or an instance out of service, or returns it. Fails with a `command_error`.
boost::leaf::result<exit_code> run_out_of_service(command_context& context, const command_options& options,
                                                  const command_output& output);

/// Returns the exit code that stands for `status`.
exit_code exit_code_of(edit_status status);

} // namespace hemlocknotch
