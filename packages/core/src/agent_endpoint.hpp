#pragma once

#include <hemlocknotch/core/agent_event.hpp>

#include "agent_context.hpp"

/// Duty of an agent: its calls to the endpoint.
namespace hemlocknotch::agent {

/// The endpoint has answered with status and headers.
void on_endpoint_head(agent_context& context, const endpoint_head_event& event);

/// The endpoint has sent bytes.
void on_endpoint_part(agent_context& context, const endpoint_part_event& event);

/// A call has ended.
void on_endpoint_end(agent_context& context, const endpoint_end_event& event);

/// The health page was read.
void on_endpoint_health(agent_context& context, const endpoint_health_event& event);

/// The endpoint told what its prompt cache holds.
void on_endpoint_cache(agent_context& context, const endpoint_cache_event& event);

/// Replaces calls that have been silent for too long: by one that goes on at the offset, where the request
/// and `max_resumes` allow it; else the dispatch ends, and may have run.
void replace_idle_calls(agent_context& context);

} // namespace hemlocknotch::agent
