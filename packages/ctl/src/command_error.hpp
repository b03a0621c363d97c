#pragma once

#include "exit_code.hpp"

#include <string>

namespace hemlocknotch {

/// Why a command ended without a result; travels through Boost.LEAF.
struct command_error {
    exit_code code = exit_code::usage;
    /// What happened, as a sentence that names the place.
    std::string message;
    /// What to do about it, as a sentence.
    std::string remedy;
};

} // namespace hemlocknotch
