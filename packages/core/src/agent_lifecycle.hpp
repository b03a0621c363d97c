#pragma once

#include <hemlocknotch/core/agent_event.hpp>

#include "agent_parts.hpp"

#include <optional>

/// Duty of an agent: whether it takes new work, and its planned stop.
namespace hemlocknotch::agent {

/// Returns why no new work is taken now; nothing where it is.
std::optional<refusal_code> reason_against_work(const agent_parts& parts);

/// Returns whether the agent finishes its work and takes none for good, or until operators say otherwise.
bool is_draining(const agent_parts& parts);

/// A configuration was read.
void on_configuration(agent_parts& parts, const configuration_event& event);

/// The instance list was read.
void on_members(agent_parts& parts, const members_event& event);

/// A call to the key-value service has ended.
void on_store_contact(agent_parts& parts, const store_contact_event& event);

/// A message has come from the entry on `link`.
void on_heard(agent_parts& parts, const agent_link& link);

/// The process was asked to stop.
void on_stop(agent_parts& parts, const stop_event& event);

/// Tells readiness where it has changed, and the end of a planned stop.
void tell_lifecycle(agent_parts& parts);

} // namespace hemlocknotch::agent
