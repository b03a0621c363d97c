#pragma once

#include "agent_context.hpp"

/// Duty of an agent: exchange counters of service with the fleet.
namespace hemlocknotch::agent {

/// An entry told counters, its own or relayed.
void on_service_report(agent_context& context, const service_report_message& value);

/// An entry told sums over the other agents.
void on_service_totals(agent_context& context, link_id link, const service_totals_message& value);

/// Sends the changes since the last report to every entry.
///
/// Where this agent has links to all entries that the instance list shows, each entry hears every agent
/// itself and only own changes are sent; otherwise changes of other agents are relayed too. Every
/// `full_report_period`-th time one entry in turn is sent all that is known, so that what was lost is made
/// good (anti-entropy; Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
void send_reports(agent_context& context);

} // namespace hemlocknotch::agent
