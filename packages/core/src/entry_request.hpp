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

/// Where a request stands at its entry. Ended requests are forgotten.
enum class request_state : std::uint8_t {
    /// Its idempotency key is being claimed.
    claiming,
    /// May be dispatched.
    waiting,
    /// May be dispatched again after a delay.
    delayed,
    /// Sent to an agent of which nothing has been heard about it yet.
    dispatched,
    /// Its agent has said that it waits or runs there.
    running,
    /// The link to its agent was lost; the agent is to be asked what became of it.
    unknown,
};

/// One caller's request at its entry.
struct entry_request {
    request_id id;
    /// The caller's exchange; 0 once the caller has gone and only the outcome is of interest.
    exchange_id exchange = 0;
    std::string account_name;
    account_key client_account;
    /// The configuration under which it was accepted; owns `profile`.
    configuration_ptr accepted_under;
    const profile_definition* profile = nullptr;
    account_key service;
    std::string idempotency_key;
    /// Whether the answer to its claim is awaited, and whether the claim is to be settled at the end.
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
    /// Since when it has waited for this dispatch.
    instant queued_at;
    /// When its timer goes off: its deadline, the end of a delay, or the end of the search for its outcome.
    instant timer_at;
    /// Times that a later request was preferred for its cached prefix.
    std::uint32_t times_passed_over = 0;
    /// Dispatches so far.
    std::uint32_t attempt = 0;
    /// The dispatch whose status was last seen to be the one that the caller has received.
    std::uint32_t head_attempt = 0;
    /// Dispatches that may have run.
    std::uint32_t executions = 0;
    /// Refusals in a row.
    std::uint32_t refusals = 0;
    /// The agent of the current dispatch, and the link that it is served on; 0 while there is none.
    process_identity agent;
    link_id link = 0;
    instant dispatched_at;
    /// Offset in the answer from which the current dispatch goes on.
    std::uint64_t dispatched_from = 0;
    /// When its agent last said something of it.
    instant last_news;
    /// Whether a resolve is on its way on `link`.
    bool is_resolving = false;
    /// Name of the only agent that can go on with the answer; empty where any agent may run the request.
    std::string pinned_agent;
    answer_progress answer;

    /// Returns whether it has been sent to an agent that has not yet said how it ended.
    [[nodiscard]] bool is_outstanding() const
    {
        return state == request_state::dispatched || state == request_state::running ||
               state == request_state::unknown;
    }

    /// Returns whether the current dispatch answers with the status that the caller has received.
    [[nodiscard]] bool is_head_confirmed() const
    {
        return answer.is_head_passed() && head_attempt == attempt;
    }

    /// Returns whether an earlier dispatch may have run.
    [[nodiscard]] bool may_have_run() const { return executions > 0; }
};

} // namespace hemlocknotch
