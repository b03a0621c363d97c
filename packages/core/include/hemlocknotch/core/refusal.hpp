#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/core/verdict.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Why a request got no answer from an endpoint.
enum class refusal_code : std::uint8_t {
    malformed_header,
    unknown_client_account,
    unknown_profile,
    body_too_large,
    queue_full,
    account_queue_full,
    deadline_passed,
    out_of_service,
    no_configuration,
    shutting_down,
    grant_expired,
    no_room,
    unresolvable,
    endpoint_failed,
    idempotency_key_in_use,
    idempotency_store_unavailable,
    retry_budget_spent,
    answer_too_large,
    cancelled,
    internal_limit,
    out_of_reach,
};

/// Returns the text of `code` as used in refusals, logs and metrics, such as `queue-full`.
std::string_view to_string(refusal_code code);

/// Returns a human-readable sentence that says what happened.
std::string_view description_of(refusal_code code);

/// Returns a human-readable sentence that says what the caller can do about it.
std::string_view remedy_of(refusal_code code);

/// Returns the HTTP status that a caller receives with `code`.
int http_status_of(refusal_code code);

/// Final outcome of a request that got no complete answer.
struct refusal {
    refusal_code code = refusal_code::internal_limit;
    verdict outcome = verdict::may_have_run;
    /// Time after which the caller may retry; zero if waiting makes no difference.
    duration retry_after{};
};

} // namespace hemlocknotch
