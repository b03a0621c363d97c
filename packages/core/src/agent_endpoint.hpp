#pragma once

#include <hemlocknotch/core/agent_event.hpp>

#include "agent_context.hpp"

/// Agent: handles calls to the endpoint.
namespace hemlocknotch::agent {

/// Handles the status and headers of an endpoint's answer.
void on_endpoint_head(agent_context& context, const endpoint_head_event& event);

/// Handles bytes of an answer's body.
void on_endpoint_part(agent_context& context, const endpoint_part_event& event);

/// Handles the end of a call.
void on_endpoint_end(agent_context& context, const endpoint_end_event& event);

/// Handles the result of a request for the health page.
void on_endpoint_health(agent_context& context, const endpoint_health_event& event);

/// Handles changes of the endpoint's prompt cache.
void on_endpoint_cache(agent_context& context, const endpoint_cache_event& event);

/// Replaces calls that have been idle for too long by one that resumes the answer at its offset, if the
/// request and `max_resumes` allow it. Otherwise the dispatch ends with the verdict `may_have_run`.
void replace_idle_calls(agent_context& context);

} // namespace hemlocknotch::agent
