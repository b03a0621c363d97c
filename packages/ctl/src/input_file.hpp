#pragma once

#include <boost/leaf.hpp>

#include <string>

namespace hemlocknotch {

/// Reads the file at `path`, or standard input for `-`. Fails with a `command_error`.
boost::leaf::result<std::string> read_input_file(const std::string& path);

} // namespace hemlocknotch
