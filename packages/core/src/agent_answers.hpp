#pragma once

#include "agent_context.hpp"

/// Agent: forwards complete answers to the entry processes, also when an entry reconnects on a new link.
namespace hemlocknotch::agent {

/// Sends as much of an answer as the send window allows, and its end message after the last byte.
void send_answer(agent_context& context, agent_dispatch& value);

/// Handles an entry's acknowledgement of bytes of an answer, or of the complete answer.
void on_ack(agent_context& context, link_id link, const ack_message& value);

/// Handles an entry's question, on a new link, about the state of a dispatch. A dispatch that this agent has
/// not seen gets a tombstone, so that it does not run if it arrives later.
void on_resolve(agent_context& context, link_id link, const resolve_message& value);

/// Ends a running dispatch whose answer cannot be completed. Its verdict is `may_have_run`.
void end_uncertain(agent_context& context, agent_dispatch& value, refusal_code code);

/// Corrects the charge of a running dispatch to `cost` and moves it to ended with `outcome`.
void settle(agent_context& context, agent_dispatch& value, verdict outcome, double cost);

/// Sends an end message with the verdict `may_have_run` for a dispatch of which no record is left.
void end_without_answer(agent_context& context, link_id link, const request_id& id, std::uint32_t attempt);

/// Stops a dispatch and replaces it by a tombstone. The tombstone says that the dispatch may have run, unless
/// it was still waiting.
void drop(agent_context& context, agent_dispatch& value);

/// Drops dispatches whose entry has been disconnected, or has acknowledged nothing of an ended answer, for
/// too long. A running non-idempotent dispatch continues to its end.
void drop_abandoned(agent_context& context);

/// Ends all accepted dispatches when a planned stop is cut short: waiting ones are refused, running ones end
/// with the verdict `may_have_run`.
void end_everything(agent_context& context);

} // namespace hemlocknotch::agent
