#include <hemlocknotch/core/rendezvous.hpp>
#include <hemlocknotch/gateway/affinity_placement.hpp>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

using ranked_endpoint = std::pair<std::uint64_t, std::size_t>;

/// Returns the usable endpoints by descending rendezvous weight for `key`.
std::vector<ranked_endpoint> rank(std::uint64_t key, std::span<const endpoint_load> endpoints)
{
    std::vector<ranked_endpoint> out;
    out.reserve(endpoints.size());
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
        if (endpoints[n].is_usable) {
            out.emplace_back(rendezvous_weight(key, endpoints[n].instance), n);
        }
    }
    std::ranges::sort(out, std::greater{});
    return out;
}

} // namespace

double affinity_placement::copy_penalty(const placement_request& request, const endpoint_load& endpoint,
                                        std::size_t rank) const
{
    if (!request.shared_part || rank == 0) {
        return 0.0;
    }
    const auto uncached = std::max(0.0, request.shared_tokens - endpoint.cached_tokens);
    if (rank < options_.fanout) {
        return options_.copy_factor * uncached;
    }
    return std::max(options_.spill_seconds * request.endpoint_tokens_per_second,
                    options_.spill_factor * uncached);
}

std::size_t affinity_placement::considered_endpoints(const placement_request& request) const
{
    return request.shared_part ? options_.fanout + options_.spill_endpoints : 0;
}

placement affinity_placement::choose(const placement_request& request,
                                     std::span<const endpoint_load> endpoints) const
{
    const auto ranked = rank(request.shared_part.value_or(0), endpoints);
    placement out;
    out.has_candidates = !ranked.empty();
    const auto is_within_share = request.account_share == share_state::within_share;
    const auto factor = request.account_share == share_state::over_current_share ? options_.beyond_part : 1.0;
    const auto stated = request.endpoint_tokens_per_second;
    const auto window =
        stated * (is_within_share ? options_.window_seconds : options_.excess_window_seconds * factor);
    const auto rate =
        stated * (is_within_share ? options_.rate_factor : options_.excess_rate_factor * factor);
    const auto eligible = request.shared_part ? considered_endpoints(request) : ranked.size();
    double least = 0.0;
    for (std::size_t n = 0; n < std::min(eligible, ranked.size()); ++n) {
        const auto& it = endpoints[ranked[n].second];
        const auto cost = it.pending_tokens + copy_penalty(request, it, n);
        const auto has_capacity = cost <= window && it.running < it.slots && it.tokens_per_second <= rate;
        if (has_capacity && (!out.endpoint || cost < least)) {
            out.endpoint = ranked[n].second;
            least = cost;
        }
    }
    return out;
}

} // namespace hemlocknotch::gateway
