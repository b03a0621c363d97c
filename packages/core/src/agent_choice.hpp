#pragma once

#include "event_random.hpp"
#include "outgoing_link.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Returns the agent to send a request to without a grant; null if `with_free_slots` is empty. Agents that
/// have the request's prefix cached come first, then agents of the entry's own failure domain. Of the
/// remaining equals two are drawn at random and the one with more free slots is returned, so that entries
/// that see the same free slots do not all choose the same agent (Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing", IEEE TPDS 2001). `prefix` is 0 for a request without a prefix.
outgoing_link* choose_agent_without_grant(std::span<outgoing_link* const> with_free_slots,
                                          std::uint64_t prefix, std::string_view own_domain,
                                          event_random& random);

} // namespace hemlocknotch
