#include <hemlocknotch/core/rendezvous.hpp>
#include <hemlocknotch/gateway/endpoint_table.hpp>

#include <algorithm>
#include <functional>

/// Which endpoints of a service may take a request, and their loads.
namespace hemlocknotch::gateway {
namespace {

/// Endpoints in a ranking for each one that is asked for; the others stand in for those that are not usable.
constexpr std::size_t ranking_margin = 4;
constexpr unsigned default_slots = 64;

} // namespace

std::vector<endpoint_load> endpoint_table::loads_of(std::string_view service, instant now,
                                                    const endpoint_query& query,
                                                    std::vector<endpoint_state*>& states)
{
    states.clear();
    std::vector<endpoint_load> out;
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) {
        return out;
    }
    const auto& all = found->second;
    const auto usable = usability_of(all, query, now);
    const auto may_take = [&](const endpoint_state& it) { return is_usable(it, usable, query, now); };
    if (query.limit == 0) {
        states = all;
        out.reserve(all.size());
        for (const auto* it : all) {
            out.push_back(load_of(*it, query.shared_parts, may_take(*it), now));
        }
        return out;
    }
    endpoint_ranking own;
    auto& ranking = query.ranking == nullptr ? own : *query.ranking;
    if (ranking.generation != generation_) {
        rank(all, query.key, query.limit * ranking_margin, ranking);
    }
    const auto take_usable = [&] {
        for (auto* it : ranking.first) {
            if (states.size() < query.limit && may_take(*it)) {
                states.push_back(it);
            }
        }
    };
    take_usable();
    if (states.size() < query.limit && ranking.first.size() < all.size()) {
        states.clear();
        rank(all, query.key, all.size(), ranking);
        take_usable();
    }
    for (const auto* it : states) {
        out.push_back(load_of(*it, query.shared_parts, true, now));
    }
    return out;
}

void endpoint_table::rank(std::span<endpoint_state* const> states, std::uint64_t key, std::size_t limit,
                          endpoint_ranking& ranking)
{
    using weighted = std::pair<std::uint64_t, endpoint_state*>;
    ++rankings_;
    std::vector<weighted> ranked;
    ranked.reserve(states.size());
    for (auto* it : states) {
        ranked.emplace_back(rendezvous_weight(key, it->record.instance), it);
    }
    const auto count = std::min(limit, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), std::greater{},
                              &weighted::first);
    ranking.generation = generation_;
    ranking.first.clear();
    for (const auto& [weight, it] : std::span{ranked}.first(count)) {
        ranking.first.push_back(it);
    }
}

endpoint_load endpoint_table::load_of(const endpoint_state& endpoint,
                                      std::span<const prompt_part> shared_parts, bool is_usable,
                                      instant now) const
{
    const auto own_factor = 1.0 + static_cast<double>(non_reporting_gateways_);
    const auto& peers = endpoint.peers_total;
    return {endpoint.record.instance,
            is_usable,
            endpoint.pending_tokens * own_factor + peers.pending_tokens,
            endpoint.running + peers.running,
            endpoint.sent_tokens.per_second(now) * own_factor + peers.tokens_per_second,
            endpoint.record.slots > 0 ? endpoint.record.slots : default_slots,
            endpoint.cached_tokens(shared_parts, now)};
}

endpoint_table::usability endpoint_table::usability_of(std::span<endpoint_state* const> states,
                                                       const endpoint_query& query, instant now) const
{
    std::size_t accepting = 0;
    std::size_t not_suspected = 0;
    std::size_t reachable = 0;
    for (const auto* it : states) {
        if (is_usable(*it, usability::accepting, query, now)) {
            ++accepting;
            not_suspected += it->suspected_until <= now ? 1U : 0U;
            reachable += it->consecutive_unreachable < 2 ? 1U : 0U;
        }
    }
    if (not_suspected * 2 >= accepting) {
        return usability::not_suspected;
    }
    // Endpoints that cannot be reached are a last resort only.
    return reachable > 0 ? usability::reachable : usability::accepting;
}

bool endpoint_table::is_usable(const endpoint_state& endpoint, usability usable, const endpoint_query& query,
                               instant now) const
{
    const auto& version = endpoint.record.software_version;
    const auto is_excluded =
        std::ranges::find(query.excluded, endpoint.record.instance) != query.excluded.end() ||
        (query.version != nullptr && version != *query.version) ||
        (query.instances != nullptr && !query.instances->contains(endpoint.record.instance)) ||
        std::ranges::find(query.excluded_versions, version) != query.excluded_versions.end();
    if (is_excluded || !accepts_requests(endpoint, now)) {
        return false;
    }
    switch (usable) {
    case usability::not_suspected:
        return endpoint.suspected_until <= now;
    case usability::reachable:
        return endpoint.consecutive_unreachable < 2;
    case usability::accepting:
        break;
    }
    return true;
}

} // namespace hemlocknotch::gateway
