#include <hemlocknotch/core/rendezvous.hpp>
#include <hemlocknotch/gateway/affinity_placement.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

using ranked_endpoint = std::pair<std::uint64_t, std::size_t>;

/// Returns the usable endpoints, the owner of `key` first.
std::vector<ranked_endpoint> rank(std::uint64_t key, std::span<const endpoint_load> endpoints)
{
    std::array<char, sizeof key> bytes{};
    std::memcpy(bytes.data(), &key, sizeof key);
    std::vector<ranked_endpoint> out;
    out.reserve(endpoints.size());
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
        if (endpoints[n].is_usable) {
            out.emplace_back(rendezvous_weight({bytes.data(), bytes.size()}, endpoints[n].instance), n);
        }
    }
    std::ranges::sort(out, std::greater{});
    return out;
}

} // namespace

placement affinity_placement::choose(const placement_request& request,
                                     std::span<const endpoint_load> endpoints) const
{
    const auto ranked = rank(request.shared_part.value_or(0), endpoints);
    placement out;
    out.has_candidates = !ranked.empty();
    // Without a shared part no endpoint is better than another.
    const auto fanout = request.shared_part ? options_.fanout : ranked.size();
    const auto is_within = request.standing == share_standing::within;
    const auto part = request.standing == share_standing::beyond ? options_.beyond_part : 1.0;
    const auto stated = request.endpoint_tokens_per_second;
    const auto window =
        stated * (is_within ? options_.window_seconds : options_.excess_window_seconds * part);
    const auto rate = stated * (is_within ? options_.rate_factor : options_.excess_rate_factor * part);
    double least = 0.0;
    for (std::size_t n = 0; n < std::min(fanout, ranked.size()); ++n) {
        const auto& it = endpoints[ranked[n].second];
        const auto has_room =
            it.pending_tokens <= window && it.running < it.slots && it.tokens_per_second <= rate;
        if (has_room && (!out.endpoint || it.pending_tokens < least)) {
            out.endpoint = ranked[n].second;
            least = it.pending_tokens;
        }
    }
    return out;
}

} // namespace hemlocknotch::gateway
