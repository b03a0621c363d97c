#pragma once

#include <hemlocknotch/gateway/endpoint_load.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace hemlocknotch::gateway {

/// Whether a client account is above its fair share of the service.
enum class share_state : std::uint8_t {
    /// Served at most its fair share of the larger of the configured capacity and the current throughput.
    within_share,
    /// Over that share, but not over what is admitted of its requests.
    over_stated_share,
    /// Over both: takes capacity that other accounts request.
    over_current_share,
};

/// Returns the name of `value` in log records. Thread-safe.
constexpr std::string_view to_string(share_state value)
{
    switch (value) {
    case share_state::within_share:
        return "within";
    case share_state::over_stated_share:
        return "excess";
    case share_state::over_current_share:
        break;
    }
    return "beyond";
}

/// Properties of a request that a placement policy decides by.
struct placement_request {
    /// Key of the longest part of the prompt that it shares with other requests; empty if there is none.
    std::optional<std::uint64_t> shared_part;
    /// All parts that it shares with other requests, in order. Valid as long as the request.
    std::span<const prompt_part> shared_parts;
    /// Tokens of the prompt, shared parts included.
    double prompt_tokens = 0.0;
    /// Of these, tokens that are cached at endpoints which executed requests with the same shared part.
    double shared_tokens = 0.0;
    share_state account_share = share_state::within_share;
    /// Tokens per second that one endpoint processes according to the operators, generated tokens counted
    /// twice.
    double endpoint_tokens_per_second = 0.0;
    /// Tokens that are expected to be generated.
    double output_tokens = 0.0;
    /// Random number of this request and attempt, for policies that draw.
    std::uint64_t draw = 0;
};

/// Result of a placement decision.
struct placement {
    /// Index of the chosen endpoint; empty if the request has to wait.
    std::optional<std::size_t> endpoint;
    /// Whether any endpoint may take the request, now or later.
    bool has_candidates = false;
};

/// Chooses the endpoint of a service that executes a request. Implementations are immutable and safe to share
/// between threads.
class placement_policy {
public:
    virtual ~placement_policy() = default;

    /// Returns how many of the usable endpoints `choose` considers: the first ones by `rendezvous_weight` for
    /// the request's shared part. 0: all endpoints.
    [[nodiscard]] virtual std::size_t considered_endpoints(const placement_request& /*request*/) const
    {
        return 0;
    }

    /// Chooses among `endpoints`, all of one service.
    [[nodiscard]] virtual placement choose(const placement_request& request,
                                           std::span<const endpoint_load> endpoints) const = 0;
};

} // namespace hemlocknotch::gateway
