#include <hemlocknotch/core/refusal.hpp>

#include <array>
#include <cassert>
#include <cstddef>

namespace hemlocknotch {
namespace {

struct refusal_text {
    refusal_code code;
    std::string_view name;
    int http_status;
    std::string_view description;
    std::string_view remedy;
};

constexpr int bad_request = 400;
constexpr int forbidden = 403;
constexpr int conflict = 409;
constexpr int too_large = 413;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int client_closed_request = 499;

constexpr std::array refusal_texts{
    refusal_text{refusal_code::malformed_header, "malformed-header", bad_request,
                 "A header of the request is missing or cannot be read.",
                 "Correct the header named in the detail and send the request again."},
    refusal_text{refusal_code::unknown_client_account, "unknown-client-account", forbidden,
                 "The configuration has no such client account.",
                 "Check the Hemlocknotch-Account header, or ask the operators to add the client account."},
    refusal_text{refusal_code::unknown_profile, "unknown-profile", bad_request,
                 "The configuration has no such profile.",
                 "Check the Hemlocknotch-Profile header, or ask the operators to add the profile."},
    refusal_text{refusal_code::body_too_large, "body-too-large", too_large,
                 "The request body is larger than its profile allows.",
                 "Send a smaller body, or use a profile with a larger max_body_bytes."},
    refusal_text{refusal_code::queue_full, "queue-full", unavailable,
                 "This entry holds as many waiting requests as it may.",
                 "Send the request again after the time in Retry-After."},
    refusal_text{refusal_code::account_queue_full, "account-queue-full", too_many_requests,
                 "This client account has as many waiting requests at this entry as it may.",
                 "Wait for answers before sending more, or come back after the time in Retry-After."},
    refusal_text{refusal_code::deadline_passed, "deadline-passed", gateway_timeout,
                 "The request could not start to run before its deadline.",
                 "Send it again after the time in Retry-After, or with a later deadline."},
    refusal_text{refusal_code::out_of_service, "out-of-service", unavailable,
                 "Operators have taken this instance or its failure domain out of service.",
                 "Send the request again; the balancer will choose another instance."},
    refusal_text{refusal_code::no_configuration, "no-configuration", unavailable,
                 "This instance has not yet received a configuration.",
                 "Send the request again; the balancer will choose another instance."},
    refusal_text{refusal_code::shutting_down, "shutting-down", unavailable,
                 "This instance is shutting down and takes no new work.",
                 "Send the request again; the balancer will choose another instance."},
    refusal_text{refusal_code::grant_expired, "grant-expired", unavailable,
                 "The place kept for the request was given back before it came.", "Send the request again."},
    refusal_text{refusal_code::no_room, "no-room", unavailable, "The endpoint has no free place.",
                 "Send the request again after the time in Retry-After."},
    refusal_text{refusal_code::unresolvable, "unresolvable", bad_gateway,
                 "Contact to the instance that ran the request was lost.",
                 "Find out whether the request ran before sending it again."},
    refusal_text{refusal_code::endpoint_failed, "endpoint-failed", bad_gateway,
                 "The endpoint failed before its answer was complete.",
                 "If the verdict is may-have-run, find out whether the request ran before sending it again."},
    refusal_text{refusal_code::idempotency_key_in_use, "idempotency-key-in-use", conflict,
                 "Another request with this Idempotency-Key has run or may be running.",
                 "Find out what became of the other request; use a new key only for new work."},
    refusal_text{refusal_code::idempotency_store_unavailable, "idempotency-store-unavailable", unavailable,
                 "The Idempotency-Key could not be claimed because the key-value service did not answer.",
                 "Send the request again with the same key after the time in Retry-After."},
    refusal_text{refusal_code::retry_budget_spent, "retry-budget-spent", unavailable,
                 "The request failed, and too many requests are being retried already.",
                 "Send it again after the time in Retry-After."},
    refusal_text{refusal_code::answer_too_large, "answer-too-large", bad_gateway,
                 "The answer is larger than may be held.", "Ask for a shorter answer."},
    refusal_text{refusal_code::cancelled, "cancelled", client_closed_request,
                 "The caller closed its connection.", "Nothing needs to be done."},
    refusal_text{refusal_code::internal_limit, "internal-limit", unavailable,
                 "A limit of this instance was reached.",
                 "Send the request again after the time in Retry-After."},
    refusal_text{refusal_code::out_of_reach, "out-of-reach", unavailable,
                 "This instance reaches neither the key-value service nor another failure domain.",
                 "Send the request again; the balancer will choose another instance."},
};

const refusal_text& text_of(refusal_code code)
{
    const auto n = static_cast<std::size_t>(code);
    assert(n < refusal_texts.size());
    assert(refusal_texts.at(n).code == code);
    return refusal_texts.at(n);
}

} // namespace

std::string_view to_string(refusal_code code)
{
    return text_of(code).name;
}

std::string_view description_of(refusal_code code)
{
    return text_of(code).description;
}

std::string_view remedy_of(refusal_code code)
{
    return text_of(code).remedy;
}

int http_status_of(refusal_code code)
{
    return text_of(code).http_status;
}

} // namespace hemlocknotch
