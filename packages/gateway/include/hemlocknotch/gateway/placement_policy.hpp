#pragma once

#include <hemlocknotch/gateway/endpoint_load.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace hemlocknotch::gateway {

/// How what a client account has been given stands to its fair share.
enum class share_state : std::uint8_t {
    /// Within its share of what the operators state that all endpoints do.
    within_share,
    /// Beyond that, within its share of what the endpoints do at present.
    over_stated_share,
    /// Beyond both: it takes what others ask for.
    over_current_share,
};

/// Returns the text of `value` as it stands in logs. Thread-safe.
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

/// What a placement policy knows of a request.
struct placement_request {
    /// Key of the longest part of the prompt that other requests share; nothing where there is none.
    std::optional<std::uint64_t> shared_part;
    /// All parts that other requests share, in order. Valid as long as the request.
    std::span<const prompt_part> shared_parts;
    /// Tokens of the prompt, shared parts included.
    double prompt_tokens = 0.0;
    /// Of these, tokens that are kept where requests with the same shared part have run.
    double shared_tokens = 0.0;
    share_state account_share = share_state::within_share;
    /// Tokens that one endpoint processes in a second by the operators' statement, generated ones counted
    /// twice.
    double endpoint_tokens_per_second = 0.0;
    /// Tokens that are expected to be generated.
    double output_tokens = 0.0;
};

/// What a placement policy decides.
struct placement {
    /// Position of the endpoint to send to; nothing where the request has to wait.
    std::optional<std::size_t> endpoint;
    /// Some endpoint could take the request later. False: there is none at all.
    bool has_candidates = false;
};

/// Policy: which endpoint of a service runs a request. Implementations are immutable; safe to share between
/// threads.
class placement_policy {
public:
    virtual ~placement_policy() = default;

    /// Chooses among `endpoints`, all of one service.
    [[nodiscard]] virtual placement choose(const placement_request& request,
                                           std::span<const endpoint_load> endpoints) const = 0;
};

} // namespace hemlocknotch::gateway
