#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/request_id.hpp>
#include <hemlocknotch/core/time.hpp>

#include "answer_progress.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlocknotch {

/// State of a request at its entry. Requests are removed when they end.
enum class request_state : std::uint8_t {
    /// The idempotency key of the request is being claimed.
    claiming,
    /// May be dispatched.
    waiting,
    /// May be dispatched again after a delay.
    delayed,
    /// Sent to an agent that has not yet sent anything about it.
    dispatched,
    /// The agent has confirmed that the request is waiting or running there.
    running,
    /// The link to the agent of the request was lost; the agent has to be asked for the state of the request.
    unknown,
};

/// A caller's request at its entry.
struct entry_request {
    request_id id;
    /// The caller's exchange; 0 once the caller has disconnected and only the outcome matters.
    exchange_id exchange = 0;
    std::string account_name;
    account_key client_account;
    /// The configuration under which it was accepted; owns `profile`.
    configuration_ptr accepted_under;
    const profile_definition* profile = nullptr;
    account_key service;
    std::string idempotency_key;
    /// Whether the result of its claim is pending, and whether the claim has to be settled at the end.
    bool is_claim_pending = false;
    bool is_claimed = false;
    std::optional<double> cost_hint;
    double estimated_cost = 1.0;
    instant arrived;
    instant deadline;
    std::uint64_t prefix = 0;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    std::string traceparent;

    request_state state = request_state::waiting;
    /// Start of its wait for the current dispatch.
    instant queued_at;
    /// When its timer expires: at its deadline, at the end of a delay, or when the attempt to find out its
    /// outcome is given up.
    instant timer_at;
    /// Number of times that a later request was preferred for its cached prefix.
    std::uint32_t times_passed_over = 0;
    /// Number of dispatches so far.
    std::uint32_t attempt = 0;
    /// The last dispatch whose head was accepted as that of the answer sent to the caller.
    std::uint32_t head_attempt = 0;
    /// Number of dispatches that may have run.
    std::uint32_t executions = 0;
    /// Number of consecutive refusals.
    std::uint32_t refusals = 0;
    /// The agent of the current dispatch, and the link used for it; 0 while there is none.
    process_identity agent;
    link_id link = 0;
    instant dispatched_at;
    /// Offset in the answer at which the current dispatch starts.
    std::uint64_t dispatched_from = 0;
    /// When its agent last sent a message about it.
    instant last_activity;
    /// Whether a `resolve_message` sent on `link` has not been answered yet.
    bool is_resolving = false;
    /// Name of the only agent that can resume the answer; empty if any agent may run the request.
    std::string pinned_agent;
    answer_progress answer;
    /// Media type of the answer sent to the caller; empty if it states none.
    std::string media_type;

    /// Returns whether it has been sent to an agent that has not yet reported its end.
    [[nodiscard]] bool is_outstanding() const
    {
        return state == request_state::dispatched || state == request_state::running ||
               state == request_state::unknown;
    }

    /// Returns whether the head of the current dispatch has been accepted as that of the answer sent to the
    /// caller.
    [[nodiscard]] bool is_head_confirmed() const { return answer.is_head_sent() && head_attempt == attempt; }

    /// Returns whether an earlier dispatch may have run.
    [[nodiscard]] bool may_have_run() const { return executions > 0; }
};

} // namespace hemlocknotch
