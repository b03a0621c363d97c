#pragma once

#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/time.hpp>

#include "outgoing_link.hpp"
#include "waiting_queue.hpp"

#include <optional>

namespace hemlocknotch {

/// Returns whether there may be something to tell an agent of `queue`.
[[nodiscard]] bool is_demand_due(const waiting_queue& queue, const reported_demand& told);

/// Returns whether an account has work waiting of which the agent does not know: an agent with free places
/// would leave them idle until it is told.
[[nodiscard]] bool is_demand_urgent(const waiting_queue& queue, const reported_demand& told);

/// Returns the demand message that brings an agent up to date with `queue`, and remembers it as told; nothing
/// where the agent knows enough. A count is told when it changes between none and some, rises to another
/// power of two or falls by more than one, so that a long queue costs few messages.
std::optional<demand_message> next_demand(const waiting_queue& queue, reported_demand& told, instant now);

/// Returns the message that takes back all demand told, and remembers that everything has to be told again;
/// nothing where none was told.
std::optional<demand_message> take_back_demand(reported_demand& told);

/// Follows the agent, which counts down with each grant that is used and tries the last one again only after
/// a delay or news.
void on_grant_used(reported_demand& told, account_key client_account);

/// Follows the agent, which after a declined grant waits for a delay or news.
void on_grant_declined(reported_demand& told, account_key client_account);

} // namespace hemlocknotch
