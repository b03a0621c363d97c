#pragma once

#include <hemlocknotch/core/agent_event.hpp>

#include "agent_context.hpp"

#include <optional>

/// Duty of an agent: whether it takes new work, and its planned stop.
namespace hemlocknotch::agent {

/// Returns why no new work is taken now; nothing where it is.
std::optional<refusal_code> work_refusal(const agent_context& context);

/// Returns whether the agent finishes its work and takes none for good, or until operators say otherwise.
bool is_draining(const agent_context& context);

/// A configuration was read.
void on_configuration(agent_context& context, const configuration_event& event);

/// The instance list was read.
void on_members(agent_context& context, const members_event& event);

/// A call to the key-value service has ended.
void on_store_contact(agent_context& context, const store_contact_event& event);

/// A message has come from the entry on `link`.
void on_peer_message(agent_context& context, const agent_link& link);

/// The process was asked to stop.
void on_stop(agent_context& context, const stop_event& event);

/// Tells readiness where it has changed, and the end of a planned stop.
void report_lifecycle(agent_context& context);

} // namespace hemlocknotch::agent
