#pragma once

#include "agent_context.hpp"

/// Duty of an agent: pass answers on whole, also over a change of links.
namespace hemlocknotch::agent {

/// Sends what the window allows of an answer, and its end after the last byte.
void send_answer(agent_context& context, agent_dispatch& value);

/// An entry acknowledges an answer's bytes, or all of it.
void on_ack(agent_context& context, link_id link, const ack_message& value);

/// An entry asks on a new link what became of a dispatch. One that was never seen is tombstoned.
void on_resolve(agent_context& context, link_id link, const resolve_message& value);

/// Ends a running dispatch whose answer cannot become whole: it may have run.
void end_uncertain(agent_context& context, agent_dispatch& value, refusal_code code);

/// Closes the account of a running dispatch at `cost` and moves it to ended with `outcome`.
void settle(agent_context& context, agent_dispatch& value, verdict outcome, double cost);

/// Tells that a dispatch about which nothing more is known may have run.
void end_without_answer(agent_context& context, link_id link, const request_id& id, std::uint32_t attempt);

/// Stops a dispatch that runs, and forgets it but for its tombstone: it may have run, unless it still waited.
void drop(agent_context& context, agent_dispatch& value);

/// Drops dispatches whose entry has been gone for too long. A non-idempotent one that runs goes on to its
/// end.
void drop_abandoned(agent_context& context);

/// Ends all that is accepted with true verdicts, at the limit of a planned stop.
void end_everything(agent_context& context);

} // namespace hemlocknotch::agent
