#include "baseline_placements.hpp"

#include <hemlocknotch/core/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>

namespace hemlocknotch::gateway::model {
namespace {

/// Limit of the pending tokens at an endpoint for `prompt-bounded`, as seconds at the configured rate; equal
/// to the window of `affinity_options`.
constexpr double bound_seconds = 0.7;

/// Chooses the endpoint with the least cost among those with a free slot. The cost function returns nothing
/// for endpoints that are not to be used.
class least_cost_placement final : public placement_policy {
public:
    using cost_function =
        std::function<std::optional<double>(const placement_request&, const endpoint_load&)>;

    explicit least_cost_placement(cost_function cost) : cost_{std::move(cost)} {}

    [[nodiscard]] placement choose(const placement_request& request,
                                   std::span<const endpoint_load> endpoints) const override
    {
        placement out;
        double least = 0.0;
        for (std::size_t n = 0; n < endpoints.size(); ++n) {
            const auto& it = endpoints[n];
            out.has_candidates = out.has_candidates || it.is_usable;
            if (!it.is_usable || it.running >= it.slots) {
                continue;
            }
            const auto cost = cost_(request, it);
            if (cost && (!out.endpoint || *cost < least)) {
                out.endpoint = n;
                least = *cost;
            }
        }
        return out;
    }

private:
    cost_function cost_;
};

double rank_of(const placement_request& request, const endpoint_load& endpoint)
{
    std::array<char, sizeof(std::uint64_t)> key{};
    const auto part = request.shared_part.value_or(0);
    std::memcpy(key.data(), &part, sizeof part);
    return -static_cast<double>(rendezvous_weight({key.data(), key.size()}, endpoint.instance));
}

} // namespace

std::unique_ptr<placement_policy> create_baseline(std::string_view name)
{
    using result = std::optional<double>;
    if (name == "random") {
        return std::make_unique<least_cost_placement>([](const auto& request, const auto& it) {
            // The sizes of the request seed the choice, because a policy has no random source.
            const auto seed =
                static_cast<std::uint64_t>(request.prompt_tokens * 4096.0 + request.output_tokens);
            return result{static_cast<double>(XXH64(it.instance.data(), it.instance.size(), seed))};
        });
    }
    if (name == "least-loaded") {
        return std::make_unique<least_cost_placement>(
            [](const auto& /*request*/, const auto& it) { return result{it.pending_tokens}; });
    }
    if (name == "prompt-only") {
        return std::make_unique<least_cost_placement>(
            [](const auto& request, const auto& it) { return result{rank_of(request, it)}; });
    }
    if (name == "prompt-bounded") {
        return std::make_unique<least_cost_placement>([](const auto& request, const auto& it) {
            const auto bound = bound_seconds * request.endpoint_tokens_per_second;
            return it.pending_tokens <= bound ? result{rank_of(request, it)} : std::nullopt;
        });
    }
    return nullptr;
}

} // namespace hemlocknotch::gateway::model
