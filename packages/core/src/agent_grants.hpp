#pragma once

#include "agent_context.hpp"

/// Agent: assigns free slots to entry processes, by grants or by advertising the slots. This is credit-based
/// flow control: an entry reports demand, the agent grants a slot, and the entry uses the grant or declines
/// it.
namespace hemlocknotch::agent {

/// Returns the number of slots that no request holds or waits for and no grant reserves. It is negative after
/// the limit has fallen below the number of slots in use.
long long free_slots(const agent_context& context);

/// Handles a report of the demand of an entry process.
void on_demand(agent_context& context, link_id link, const demand_message& value);

/// Handles a grant that an entry process declines because the entry has no request for the grant.
void on_decline(agent_context& context, link_id link, const decline_message& value);

/// Revokes the grants that have expired.
void expire_grants(agent_context& context);

/// Revokes the grants that were issued on a link that has closed.
void return_grants_of(agent_context& context, link_id link);

/// Issues grants for the free slots, or advertises free slots to the entries if no demand is known.
void offer_slots(agent_context& context);

} // namespace hemlocknotch::agent
