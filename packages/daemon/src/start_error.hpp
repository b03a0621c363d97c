#pragma once

#include <string>

namespace hemlocknotch::daemon {

/// Why a daemon could not start. Boost.LEAF transports it from the place of the error to the handler in
/// `run_command_line`.
struct start_error {
    /// What failed, with the setting, file or address concerned.
    std::string what;
    /// What the operator can do about it, as a sentence.
    std::string remedy;
};

} // namespace hemlocknotch::daemon
