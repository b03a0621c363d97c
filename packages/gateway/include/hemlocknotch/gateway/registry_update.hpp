#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// One change of the registry as a gateway tells it to others.
struct reported_change {
    std::string key;
    std::uint64_t revision = 0;
    bool is_removed = false;
    std::string value;
};

/// What one gateway has read from the registry, told to the others so that they need not read it too.
struct registry_update {
    std::string gateway;
    /// The changes are all that matter between these revisions, the first left out.
    std::uint64_t from_revision = 0;
    std::uint64_t to_revision = 0;
    /// Hash of the keys that the teller knows after the changes.
    std::uint64_t digest = 0;
    /// Time since the registry was asked.
    duration age{};
    /// Some change was too large to be told; the registry has to be read for it.
    bool is_partial = false;
    std::vector<reported_change> changes;
};

} // namespace hemlocknotch::gateway
