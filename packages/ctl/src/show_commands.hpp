#pragma once

#include "command_context.hpp"
#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"

#include <boost/leaf.hpp>

namespace hemlocknotch {

/// Writes the configuration in force, or a kept revision. Fails with a `command_error`.
boost::leaf::result<exit_code> run_show(command_context& context, const command_options& options,
                                        const command_output& output);

/// Writes what applying a document would change. Fails with a `command_error`.
boost::leaf::result<exit_code> run_diff(command_context& context, const command_options& options,
                                        const command_output& output);

/// Writes the latest revisions, each with what it changed. Fails with a `command_error`.
boost::leaf::result<exit_code> run_history(command_context& context, const command_options& options,
                                           const command_output& output);

} // namespace hemlocknotch
