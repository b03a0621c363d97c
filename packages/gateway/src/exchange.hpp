#pragma once

#include <hemlocknotch/gateway/endpoint_table.hpp>
#include <hemlocknotch/gateway/event_splitter.hpp>
#include <hemlocknotch/gateway/placement_policy.hpp>
#include <hemlocknotch/gateway/request_signature.hpp>
#include <hemlocknotch/gateway/rollout_table.hpp>
#include <hemlocknotch/gateway/router_port.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>
#include <hemlocknotch/gateway/share_meter.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// What the share of an account was decided by, in tokens per second.
struct share_inputs {
    /// Rates of the account over all gateways, as far as this one knows.
    account_rates rates;
    /// Rate up to which an account is within its share.
    double fair_level = 0.0;
};

/// One request, from its arrival to its final answer.
struct exchange {
    /// Objective of routes for which none is configured.
    static constexpr duration default_objective = std::chrono::seconds{1};
    /// Maximum number of attempts of one request, including those that could not connect. Bounds the work for
    /// one request while endpoints are down.
    static constexpr unsigned attempt_limit = 5;
    /// Answer of an endpoint that is not the one the request was meant for.
    static constexpr int status_misdirected = 421;

    exchange_id id = 0;
    std::shared_ptr<const caller_request> request;
    /// The configuration in force when the request arrived; null if there was none.
    std::shared_ptr<const routing_configuration> configuration;
    const route* matched = nullptr;
    std::string service;
    std::string account;
    bool is_model = false;
    unsigned priority = 0;
    instant arrived;
    /// Latest time of the final answer to the caller.
    instant ends_at;
    /// Time at which an unresponsive endpoint is given up for another one.
    instant attempt_timeout_at = instant::max();
    placement_request placement_input;
    endpoint_ranking ranking;
    /// Computed when they are first needed; empty until then.
    std::vector<request_signature> signatures;
    /// Tokens that count for the account.
    double cost = 0.0;
    /// By what its share was decided last; empty: it was not.
    std::optional<share_inputs> share;
    /// Wait that was expected when the request was last to be queued.
    std::optional<duration> estimated_wait;
    bool is_waiting = false;
    /// Number of endpoints that may have executed it.
    unsigned executions = 0;
    unsigned attempts = 0;
    /// Age of the registry when the last endpoint was chosen; negative: unknown, or none was chosen.
    duration registry_age{-1};
    std::vector<std::string> tried;
    /// The open call; 0: none.
    call_id call = 0;
    std::string instance;
    /// Start time of that endpoint in Unix milliseconds, as registered; 0: not given.
    std::uint64_t endpoint_started_at_ms = 0;
    /// Software version of that endpoint, as registered when the call was started.
    std::string endpoint_version;
    /// Software version that began the stream, at which alone it may go on; empty while no event was passed
    /// on. An empty text stands for one that is not known, at which nothing can go on.
    std::optional<std::string> stream_version;
    /// How the answer of the last call was counted for a roll-out, and what its time is divided by to compare
    /// it with others: the prompt tokens to be read and a fixed amount, for model requests.
    counted_answer rollout_answer = counted_answer::none;
    double answer_work = 1.0;
    /// When the last call was started, and when the first complete event of its answer arrived.
    instant sent_at;
    instant first_event_at = instant::max();
    /// Prompt tokens of this request that the endpoint has not read yet.
    double pending = 0.0;
    std::optional<answer_head> head;
    answer_fields answer;
    bool is_stream = false;
    /// Whether the head of a stream was sent to the caller.
    bool is_begun = false;
    std::string body;
    event_splitter events;
    /// Bytes of the answer that `answer_buffers` counts.
    std::size_t held_bytes = 0;
    /// The open call is paused until the caller has taken what was sent to it.
    bool is_paused = false;

    [[nodiscard]] duration objective() const
    {
        return matched->objective > duration::zero() ? matched->objective : default_objective;
    }

    /// Returns whether the answer of the open call states that the endpoint did not execute the request.
    [[nodiscard]] bool is_rejected() const
    {
        return answer.is_not_executed || (head && head->status == status_misdirected);
    }

    [[nodiscard]] bool is_repeatable() const
    {
        return matched->kind == request_kind::safe ||
               (matched->kind == request_kind::streaming && matched->is_resumable);
    }

    /// Returns whether another attempt is allowed after a call in which the request may have been executed
    /// (`was_executed`) or certainly was not.
    [[nodiscard]] bool may_retry(bool was_executed) const
    {
        // Without the id of an event, another endpoint would begin the stream again.
        const auto can_continue = !is_begun || !events.last_id().empty();
        return attempts < attempt_limit && can_continue &&
               (!was_executed || (is_repeatable() && executions + 1 < matched->max_attempts));
    }

    [[nodiscard]] std::string_view id_text() const { return request->fields.id; }
};

} // namespace hemlocknotch::gateway
