#pragma once

#include <cerrno>
#include <string>

namespace hemlocknotch::daemon {

/// Why a daemon could not start. Boost.LEAF transports it from the place of the error to the handler in
/// `run_command_line`.
struct start_error {
    /// What failed, with the setting, file or address concerned.
    std::string what;
    /// What the operator can do about it, as a sentence.
    std::string remedy;
    /// Whether the cause may pass by itself.
    bool may_pass = false;
};

/// Returns whether the cause for which an address could not be listened on, an `errno`, may pass by itself:
/// another process still has the port, or the system does not have the address yet. Safe to call from any
/// thread.
inline bool may_pass(int error)
{
    return error == EADDRINUSE || error == EADDRNOTAVAIL;
}

} // namespace hemlocknotch::daemon
