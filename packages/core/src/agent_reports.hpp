#pragma once

#include "agent_context.hpp"

/// Agent: exchanges service counters with the rest of the fleet.
namespace hemlocknotch::agent {

/// Handles a service report from an entry process: the counters of the service that each client account has
/// received from other agents, which the entry passes on from those agents' reports.
void on_service_report(agent_context& context, const service_report_message& value);

/// Handles the sums that an entry process has computed over the service provided by the other agents.
void on_service_totals(agent_context& context, link_id link, const service_totals_message& value);

/// Sends the changes since the last report to every entry process.
///
/// If this agent has links to all live entries of the instance list, it sends its own changes only, because
/// each entry then receives the reports of every agent directly. Otherwise it also relays the changes of
/// other agents. With every `full_report_period`-th report one entry, in rotation, is sent the full contents
/// of the ledger, to make up for lost messages (anti-entropy; Demers et al., "Epidemic Algorithms for
/// Replicated Database Maintenance", 1987).
void send_reports(agent_context& context);

} // namespace hemlocknotch::agent
