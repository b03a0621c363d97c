#pragma once

#include <hemlocknotch/core/member.hpp>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Parameters for choosing the links between entries and agents.
struct link_subset_options {
    /// Agents per service that one entry process links to, on average over the entries.
    std::size_t agents_per_service = 64;
    /// Share of an agent's links reserved for entries of its own failure domain.
    double own_domain_share = 0.5;
    /// Minimum number of entries that link to one agent, if there are that many entries.
    std::size_t min_entries_per_agent = 4;
};

/// Returns how many of `entries` entries link to each of `agents` agents of one service, so that an entry
/// links to `agents_per_service` of them on average. Never fails.
std::size_t entries_per_agent(std::size_t entries, std::size_t agents, const link_subset_options& options);

/// Returns the positions in `members` of the agents that the entry process `self` links to, in their order.
/// Leaving members are skipped; `self` always counts as a live entry. Never fails. Cost: at most one hash
/// computation per pair of entry and agent, and no allocation per pair.
///
/// The number of links per agent is exact and the number per entry is random: each agent is linked to by
/// exactly `entries_per_agent` entries, those with the highest rendezvous weights for it, first from its own
/// failure domain and then from the others. An entry therefore has `agents_per_service` links per service on
/// average, with a standard deviation of at most the square root of that number; it links to all agents of a
/// service that has no more than that many. An entry that joins or leaves changes at most one link of each
/// agent. An agent that joins or leaves changes its own links, and one link of each other agent when
/// `entries_per_agent` changes by one.
std::vector<std::size_t> choose_links(std::string_view self, std::string_view failure_domain,
                                      std::span<const member> members, const link_subset_options& options);

} // namespace hemlocknotch
