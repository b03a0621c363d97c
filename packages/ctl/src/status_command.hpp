#pragma once

#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"
#include "session.hpp"

#include <boost/leaf.hpp>

namespace hemlocknotch {

/// Writes what each daemon of the instance list reports and what operators look at first, once or again and
/// again. Fails with a `command_error`.
boost::leaf::result<exit_code> run_status(session& session, const command_options& options,
                                          const command_output& output);

} // namespace hemlocknotch
