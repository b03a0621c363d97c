#pragma once

#include <compare>
#include <cstdint>

namespace hemlocknotch::gateway {

/// A point in the history of the registry. Revisions are compared within one era only, since the registry
/// assigns them again after it has been restored from a copy.
struct registry_position {
    /// Number of restores, counted by the registry itself; 0: not stated.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const registry_position&) const = default;
};

} // namespace hemlocknotch::gateway
