#pragma once

#include <hemlocknotch/core/member.hpp>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// What the choice of links may be.
struct link_subset_options {
    /// Agents of each service that one entry links to, on average over the entries.
    std::size_t agents_per_service = 64;
    /// Share of an agent's links that go to entries of its own failure domain first.
    double own_domain_share = 0.5;
    /// Entries that link to one agent at the least, as far as there are that many.
    std::size_t min_entries_per_agent = 4;
};

/// Returns how many of `entries` entries link to each of `agents` agents of one service, so that an entry
/// links to `agents_per_service` of them on average. Never fails.
std::size_t entries_per_agent(std::size_t entries, std::size_t agents, const link_subset_options& options);

/// Returns the positions in `members` of the agents that the entry `self` links to, in their order. Leaving
/// members are left out; `self` counts as a live entry in any case. Never fails. Cost: at most one hash
/// step for each pair of an entry and an agent, and no allocation for each pair.
///
/// The agent's side is fixed and the entry's side is drawn: each agent is linked to by exactly
/// `entries_per_agent` entries, those with the highest rendezvous weights for it, first from its own failure
/// domain and then from the others. So an entry has `agents_per_service` links on average with a standard
/// deviation of at most its square root, and all agents where there are no more than that. An entry that
/// joins or leaves changes at most one link of each agent. An agent that joins or leaves changes its own
/// links, and one link of each other agent when `entries_per_agent` changes by one.
std::vector<std::size_t> choose_links(std::string_view self, std::string_view failure_domain,
                                      std::span<const member> members, const link_subset_options& options);

} // namespace hemlocknotch
