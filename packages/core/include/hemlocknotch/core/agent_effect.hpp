#pragma once

#include <hemlocknotch/core/entry_effect.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The effects that an agent's reducer can request from its shell.
namespace hemlocknotch {

/// Start a call to the endpoint. The answer's body is requested from `offset` on; an offset above 0 resumes
/// the answer of an earlier call of the same request.
struct start_call_effect {
    call_id call = 0;
    request_id id;
    std::uint64_t offset = 0;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    std::string traceparent;
};

/// Stop a call. With `is_cancel`, also tell the endpoint to stop processing the request. No event of the call
/// may follow.
struct stop_call_effect {
    call_id call = 0;
    request_id id;
    bool is_cancel = false;
};

/// Request the endpoint's health page. The result arrives as `endpoint_health_event`.
struct probe_endpoint_effect {};

/// One effect.
using agent_effect =
    std::variant<send_effect, close_link_effect, start_call_effect, stop_call_effect, probe_endpoint_effect,
                 read_configuration_effect, watch_store_effect, schedule_tick_effect, readiness_effect,
                 stopped_effect, log_effect, metric_effect, span_effect>;

} // namespace hemlocknotch
