#pragma once

#include "agent_context.hpp"

/// Agent: accepts or refuses dispatches, so that each runs at most once.
namespace hemlocknotch::agent {

/// Handles a request that an entry process submits: accepts it, to run when a slot is free, or refuses it. A
/// duplicate of a dispatch that was seen before never runs.
void on_submit(agent_context& context, link_id link, const submit_message& value);

/// Handles the cancellation of a dispatch. One that has not started is refused, and a running idempotent one
/// is stopped. A running non-idempotent one continues to its end, because stopping it would leave its effect
/// unknown.
void on_cancel(agent_context& context, link_id link, const cancel_message& value);

/// Starts waiting dispatches as long as there are free slots; refuses those whose deadline has passed.
void start_waiting(agent_context& context);

/// Refuses a waiting dispatch and replaces it by a tombstone. Precondition: the dispatch is waiting.
void refuse_waiting(agent_context& context, agent_dispatch& value, refusal_code code);

} // namespace hemlocknotch::agent
