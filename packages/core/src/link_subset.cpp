#include <hemlocknotch/core/link_subset.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdint>
#include <map>

namespace hemlocknotch {
namespace {

/// Hashes of the names of the live entries, by failure domain.
struct entry_hashes {
    std::map<std::string_view, std::vector<std::uint64_t>> by_domain;
    std::size_t count = 0;
};

/// Number of entries that link to an agent: those of its own failure domain and those of the others.
struct link_quota {
    std::size_t own = 0;
    std::size_t other = 0;
};

std::uint64_t hash_of(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

/// Returns the rendezvous weight of an entry and an agent, given the hashes of their names (the finalizer of
/// splitmix64; Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
std::uint64_t pair_weight(std::uint64_t entry, std::uint64_t agent)
{
    std::uint64_t n = entry + (agent * 0x9e3779b97f4a7c15ULL);
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31U);
}

entry_hashes collect_entries(std::string_view self, std::string_view failure_domain,
                             std::span<const member> members)
{
    entry_hashes entries;
    entries.by_domain[failure_domain].push_back(hash_of(self));
    entries.count = 1;
    for (const member& it : members) {
        if (it.role == process_role::entry && it.state == member_state::live && it.name != self) {
            entries.by_domain[it.failure_domain].push_back(hash_of(it.name));
            ++entries.count;
        }
    }
    return entries;
}

std::map<std::string_view, std::size_t> count_agents(std::span<const member> members)
{
    std::map<std::string_view, std::size_t> counts;
    for (const member& it : members) {
        if (it.role == process_role::agent && it.state == member_state::live) {
            ++counts[it.service];
        }
    }
    return counts;
}

link_quota quota_of(std::size_t links, std::size_t own_entries, std::size_t other_entries, double own_share)
{
    const auto preferred_own = static_cast<std::size_t>(std::lround(static_cast<double>(links) * own_share));
    link_quota quota;
    quota.own = std::min(preferred_own, own_entries);
    quota.other = std::min(links - quota.own, other_entries);
    quota.own = std::min(links - quota.other, own_entries);
    return quota;
}

/// Counts the entries of `hashes` with a higher weight for `agent` than `own`; stops at `limit`.
std::size_t count_before(std::uint64_t own, std::uint64_t agent, std::span<const std::uint64_t> hashes,
                         std::size_t limit)
{
    const std::uint64_t own_weight = pair_weight(own, agent);
    std::size_t before = 0;
    for (const std::uint64_t it : hashes) {
        if (before >= limit) {
            break;
        }
        before += pair_weight(it, agent) > own_weight ? 1 : 0;
    }
    return before;
}

/// Returns whether the entry with hash `self` in `self_domain` is among those that link to `agent`.
bool is_linked(std::uint64_t self, std::string_view self_domain, const member& agent,
               const entry_hashes& entries, std::size_t links, double own_share)
{
    const std::uint64_t agent_hash = hash_of(agent.name);
    const auto own = entries.by_domain.find(agent.failure_domain);
    const std::size_t own_entries = own == entries.by_domain.end() ? 0 : own->second.size();
    const link_quota quota = quota_of(links, own_entries, entries.count - own_entries, own_share);
    if (agent.failure_domain == self_domain) {
        return count_before(self, agent_hash, own->second, quota.own) < quota.own;
    }
    std::size_t before = 0;
    for (const auto& [domain, hashes] : entries.by_domain) {
        if (domain != agent.failure_domain && before < quota.other) {
            before += count_before(self, agent_hash, hashes, quota.other - before);
        }
    }
    return before < quota.other;
}

} // namespace

std::size_t entries_per_agent(std::size_t entries, std::size_t agents, const link_subset_options& options)
{
    if (agents <= options.agents_per_service) {
        return entries;
    }
    const std::size_t links = ((entries * options.agents_per_service) + agents - 1) / agents;
    return std::min(entries, std::max(links, options.min_entries_per_agent));
}

std::vector<std::size_t> choose_links(std::string_view self, std::string_view failure_domain,
                                      std::span<const member> members, const link_subset_options& options)
{
    assert(options.own_domain_share >= 0.0 && options.own_domain_share <= 1.0);
    const entry_hashes entries = collect_entries(self, failure_domain, members);
    const std::map<std::string_view, std::size_t> agents = count_agents(members);
    const std::uint64_t own = hash_of(self);
    std::vector<std::size_t> chosen;
    for (std::size_t n = 0; n < members.size(); ++n) {
        const member& it = members[n];
        if (it.role != process_role::agent || it.state != member_state::live) {
            continue;
        }
        const std::size_t links = entries_per_agent(entries.count, agents.at(it.service), options);
        if (is_linked(own, failure_domain, it, entries, links, options.own_domain_share)) {
            chosen.push_back(n);
        }
    }
    return chosen;
}

} // namespace hemlocknotch
