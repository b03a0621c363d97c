#pragma once

#include <hemlocknotch/core/agent_event.hpp>

#include "agent_context.hpp"

/// Agent: opens, keeps alive and closes links to entries.
namespace hemlocknotch::agent {

/// Handles an accepted link: sends the agent's hello.
void on_link_accepted(agent_context& context, link_id link);

/// Handles the hello of an entry process. Closes the link if protocol version, role or service do not match.
void on_hello(agent_context& context, link_id link, const hello_message& value);

/// Handles a closed link: removes its demand and revokes its grants. Its dispatches are retained for some
/// time, in case the entry reconnects.
void on_link_closed(agent_context& context, const link_closed_event& event);

/// Handles a heartbeat: replies to it unless it is itself a reply.
void on_heartbeat(agent_context& context, link_id link, const heartbeat_message& value);

/// Sends the heartbeats that are due and closes links whose entry has been unresponsive for too long.
void keep_links_alive(agent_context& context);

} // namespace hemlocknotch::agent
