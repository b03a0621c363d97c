#pragma once

#include <hemlocknotch/gateway/event_splitter.hpp>
#include <hemlocknotch/gateway/placement_policy.hpp>
#include <hemlocknotch/gateway/router_port.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// One request from its arrival to its final answer.
struct exchange {
    /// Objective of routes that state none.
    static constexpr duration default_objective = std::chrono::seconds{1};
    /// Most sends of one request, those included that reached nothing. Bounds the work for one request while
    /// endpoints are down.
    static constexpr unsigned attempt_limit = 5;

    exchange_id id = 0;
    std::shared_ptr<const caller_request> request;
    /// In force when the request came; null where none was.
    std::shared_ptr<const routing_configuration> configuration;
    const route* matched = nullptr;
    std::string service;
    std::string account;
    bool is_model = false;
    unsigned priority = 0;
    instant arrived;
    /// When the caller gets its final answer at the latest.
    instant ends_at;
    /// When a silent endpoint is given up for another.
    instant silent_at = instant::max();
    placement_request place;
    /// Tokens counted for the account.
    double cost = 0.0;
    bool is_waiting = false;
    /// Endpoints that may have executed it.
    unsigned executions = 0;
    unsigned attempts = 0;
    std::vector<std::string> tried;
    /// The call under way; 0: none.
    call_id call = 0;
    std::string instance;
    /// Prompt tokens that the endpoint has still to read for it.
    double pending = 0.0;
    std::optional<answer_head> head;
    answer_fields told;
    bool is_stream = false;
    /// The caller has been sent the head of a stream.
    bool is_begun = false;
    std::string body;
    event_splitter events;

    [[nodiscard]] duration objective() const
    {
        return matched->objective > duration::zero() ? matched->objective : default_objective;
    }

    [[nodiscard]] bool is_repeatable() const
    {
        return matched->kind == request_kind::safe ||
               (matched->kind == request_kind::streaming && matched->is_resumable);
    }

    /// Returns whether it may go to another endpoint after a call in which it may have been executed, or was
    /// not.
    [[nodiscard]] bool may_retry(bool was_executed) const
    {
        return attempts < attempt_limit &&
               (!was_executed || (is_repeatable() && executions + 1 < matched->max_attempts));
    }

    [[nodiscard]] std::string_view id_text() const { return request->fields.id; }
};

} // namespace hemlocknotch::gateway
