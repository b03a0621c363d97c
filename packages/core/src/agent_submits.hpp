#pragma once

#include "agent_context.hpp"

/// Duty of an agent: accept or refuse dispatches, each at most once.
namespace hemlocknotch::agent {

/// An entry asks to run a request. Runs it, lets it wait for its place, or refuses it. A copy of a dispatch
/// seen before never runs.
void on_submit(agent_context& context, link_id link, const submit_message& value);

/// Nobody waits for a dispatch any more. One that has not started will not; an idempotent one is stopped. A
/// non-idempotent one that runs goes on to its end, since to cut it would leave its effect unknown.
void on_cancel(agent_context& context, link_id link, const cancel_message& value);

/// Starts waiting dispatches as long as there are free places; refuses those whose deadline has passed.
void start_waiting(agent_context& context);

/// Refuses a waiting dispatch and forgets it but for its tombstone. Precondition: it waits.
void refuse_waiting(agent_context& context, agent_dispatch& value, refusal_code code);

} // namespace hemlocknotch::agent
