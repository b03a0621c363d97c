#pragma once

#include <string>

namespace hemlocknotch::gateway {

/// Thrown when an invariant is violated.
struct invariant_violation {
    std::string what;
};

} // namespace hemlocknotch::gateway
