#pragma once

#include <hemlocknotch/core/entry_effect.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Everything that an agent can ask its shell to do.
namespace hemlocknotch {

/// Call the endpoint. Parts are wanted from `offset` on; above 0 the call goes on with an earlier one of the
/// same request.
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

/// Stop a call. With `is_cancel`, tell the endpoint to stop the work too. No further event of the call comes.
struct stop_call_effect {
    call_id call = 0;
    request_id id;
    bool is_cancel = false;
};

/// Ask the endpoint's health page; answer with `endpoint_health_event`.
struct probe_endpoint_effect {};

/// One effect.
using agent_effect =
    std::variant<send_effect, close_link_effect, start_call_effect, stop_call_effect, probe_endpoint_effect,
                 read_configuration_effect, watch_store_effect, schedule_tick_effect, readiness_effect,
                 stopped_effect, log_effect, metric_effect, span_effect>;

} // namespace hemlocknotch
