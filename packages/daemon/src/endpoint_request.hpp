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

/// Returns the request of a new call: the caller's, with the request's id and the trace context set. Pure.
endpoint_request create_call_request(const start_call_effect& call, const endpoint_address& endpoint);

/// Returns the request that resumes an earlier answer from the offset in `call`. Pure.
endpoint_request create_resume_request(const start_call_effect& call, const endpoint_address& endpoint);

/// Returns the request that cancels the work for request `id` at an engine. Pure.
endpoint_request create_cancel_request(const request_id& id, const endpoint_address& endpoint);

/// Returns a GET request for `target`. Pure.
endpoint_request create_get_request(std::string target, const endpoint_address& endpoint);

} // namespace hemlocknotch::daemon
