#pragma once

#include <string>

namespace hemlocknotch::daemon {

/// Why a daemon could not start, carried by Boost.LEAF from where it was found to `main`.
struct start_error {
    /// What failed, naming the place.
    std::string what;
    /// What to do about it.
    std::string remedy;
};

} // namespace hemlocknotch::daemon
