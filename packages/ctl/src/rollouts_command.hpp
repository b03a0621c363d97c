#pragma once

#include "command_context.hpp"
#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"

#include <boost/leaf.hpp>

namespace hemlocknotch {

/// Shows the roll-outs that one gateway knows of: phase, evidence, exposure, and what the next phase waits
/// for. Fails with a `command_error` where the gateway gives no answer that can be read.
boost::leaf::result<exit_code> run_rollouts(command_context& context, const command_options& options,
                                            const command_output& output);

} // namespace hemlocknotch
