#pragma once

#include <hemlocknotch/core/agent_event.hpp>

#include "agent_context.hpp"

#include <optional>

/// Agent: readiness for new requests, and planned stop.
namespace hemlocknotch::agent {

/// Returns why new requests are refused now; nothing if they are accepted.
std::optional<refusal_code> work_refusal(const agent_context& context);

/// Returns whether the agent only finishes the requests that it has accepted: for good while it shuts down,
/// or until it is put back into service.
bool is_draining(const agent_context& context);

/// Handles a new configuration.
void on_configuration(agent_context& context, const configuration_event& event);

/// Handles a new instance list.
void on_members(agent_context& context, const members_event& event);

/// Handles the end of a call to the key-value service.
void on_store_contact(agent_context& context, const store_contact_event& event);

/// Records that a message was received from the entry on `link`.
void on_peer_message(agent_context& context, const agent_link& link);

/// Handles a request to stop the process.
void on_stop(agent_context& context, const stop_event& event);

/// Reports readiness if it has changed, and ends a planned stop.
void report_lifecycle(agent_context& context);

} // namespace hemlocknotch::agent
