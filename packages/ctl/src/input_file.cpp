#include "input_file.hpp"

#include "command_error.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace hemlocknotch {

boost::leaf::result<std::string> read_input_file(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        const std::string reason = std::strerror(errno);
        return boost::leaf::new_error(command_error{exit_code::usage, "cannot read " + path + ": " + reason,
                                                    "Name a file that exists and may be read."});
    }
    text << file.rdbuf();
    if (file.bad()) {
        return boost::leaf::new_error(command_error{exit_code::usage, "cannot read " + path + " to its end",
                                                    "Name a file that can be read."});
    }
    return text.str();
}

} // namespace hemlocknotch
