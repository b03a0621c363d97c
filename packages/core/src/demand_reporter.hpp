#pragma once

#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/time.hpp>

#include "outgoing_link.hpp"
#include "waiting_queue.hpp"

#include <optional>

namespace hemlocknotch {

/// Returns whether there may be changes of `queue` to report to an agent.
[[nodiscard]] bool is_demand_due(const waiting_queue& queue, const reported_demand& reported);

/// Returns whether an account has waiting work that the agent does not know about. An agent with free slots
/// would leave them idle until it receives the report.
[[nodiscard]] bool is_demand_urgent(const waiting_queue& queue, const reported_demand& reported);

/// Returns the demand message that brings an agent up to date with `queue` and records it in `reported`;
/// nothing if no report is needed. A count is reported when it changes between zero and non-zero, rises to
/// another power of two, or falls by more than one power of two, so that a long queue costs few messages.
std::optional<demand_message> next_demand(const waiting_queue& queue, reported_demand& reported, instant now);

/// Returns the message that withdraws all reported demand and marks everything to be reported again; nothing
/// if no demand was reported.
std::optional<demand_message> retract_demand(reported_demand& reported);

/// Updates this entry's copy of the count that the agent holds: the agent subtracts each used grant, and
/// after the last reported request issues another grant only after a delay or a new demand message.
void on_grant_used(reported_demand& reported, account_key client_account);

/// Updates this entry's copy of the count that the agent holds: after a declined grant, the agent issues
/// another grant only after a delay or a new demand message.
void on_grant_declined(reported_demand& reported, account_key client_account);

} // namespace hemlocknotch
