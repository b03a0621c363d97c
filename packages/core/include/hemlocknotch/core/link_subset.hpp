#pragma once

#include <hemlocknotch/core/member.hpp>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// What the choice of links may be.
struct link_subset_options {
    /// Agents of each service that one entry links to.
    std::size_t agents_per_service = 64;
    /// Of these, the share chosen from the entry's own failure domain first.
    double own_domain_share = 0.5;
};

/// Returns the positions in `members` of the agents that the entry `self` links to: of each service
/// `agents_per_service`, all where there are fewer. Every agent of a service is linked to by the same number
/// of entries, give or take the balance that docs/DESIGN.md states, and a member that joins or leaves changes
/// few other links. Leaving agents are not chosen. Never fails.
std::vector<std::size_t> choose_links(std::string_view self, std::string_view failure_domain,
                                      std::span<const member> members, const link_subset_options& options);

} // namespace hemlocknotch
