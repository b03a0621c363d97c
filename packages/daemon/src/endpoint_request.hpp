#pragma once

#include <hemlocknotch/core/agent_effect.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/message.hpp>

#include <string>
#include <vector>

namespace hemlocknotch::daemon {

/// One HTTP request as it is sent to an endpoint.
struct endpoint_request {
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
};

/// Returns what a new call sends: the caller's request with the id and the trace context put in. Pure.
endpoint_request request_of_call(const start_call_effect& call, const endpoint_address& endpoint);

/// Returns what a call sends that goes on with an earlier answer from its offset. Pure.
endpoint_request request_of_resume(const start_call_effect& call, const endpoint_address& endpoint);

/// Returns what stops the work of `id` at an engine. Pure.
endpoint_request request_of_cancel(const request_id& id, const endpoint_address& endpoint);

/// Returns a request without body for `target`. Pure.
endpoint_request request_of_page(std::string target, const endpoint_address& endpoint);

} // namespace hemlocknotch::daemon
