#pragma once

#include <hemlocknotch/core/agent_event.hpp>

#include "agent_context.hpp"

/// Duty of an agent: links come, greet, stay alive and go.
namespace hemlocknotch::agent {

/// A link was accepted: say hello.
void on_link_accepted(agent_context& context, link_id link);

/// The entry's hello came. Closes the link where version, role or service do not fit.
void on_hello(agent_context& context, link_id link, const hello_message& value);

/// A link has ended: its demand and grants go, its dispatches wait for the entry to come back.
void on_link_closed(agent_context& context, const link_closed_event& event);

/// A heartbeat came: answer it unless it is an answer.
void on_heartbeat(agent_context& context, link_id link, const heartbeat_message& value);

/// Sends the heartbeats that are due and closes links that have been silent for long.
void keep_links_alive(agent_context& context);

} // namespace hemlocknotch::agent
