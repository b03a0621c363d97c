#pragma once

#include <ostream>

namespace hemlocknotch {

/// Where a command writes: results to `out`, messages for people to `err`.
struct command_output {
    std::ostream& out;
    std::ostream& err;
    /// Results are one JSON value in place of text.
    bool is_json = false;
};

} // namespace hemlocknotch
