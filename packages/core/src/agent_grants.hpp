#pragma once

#include "agent_context.hpp"

/// Duty of an agent: who gets the free places.
namespace hemlocknotch::agent {

/// Returns the places that nobody holds, waits for or has been promised by a grant; below zero where the
/// limit has fallen.
long long free_slots(const agent_context& context);

/// An entry told its demand.
void on_demand(agent_context& context, link_id link, const demand_message& value);

/// An entry has nothing for a grant.
void on_decline(agent_context& context, link_id link, const decline_message& value);

/// Takes back the grants that have expired.
void expire_grants(agent_context& context);

/// Takes back the grants of a link that has closed.
void return_grants_of(agent_context& context, link_id link);

/// Issues grants for the free places, or tells the entries their room where no demand is known.
void offer_slots(agent_context& context);

} // namespace hemlocknotch::agent
