#pragma once

#include "command_context.hpp"
#include "exit_code.hpp"
#include "fleet_reader.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace hemlocknotch {

/// Returns the live daemons of `daemons` that do not report `revision` or a later one, each with what is
/// known of it, such as `agent-3 (revision 6)` or `entry-b (no answer)`.
std::vector<std::string> daemons_behind(std::span<const observed_daemon> daemons, std::uint64_t revision);

/// Asks the fleet until every live daemon reports `revision` or a later one, and writes progress to `err`.
/// Returns `done`, or `not_everywhere` after `limit`. Fails with a `command_error`.
boost::leaf::result<exit_code> wait_for_revision(command_context& context, std::uint64_t revision,
                                                 duration limit, std::ostream& err);

} // namespace hemlocknotch
