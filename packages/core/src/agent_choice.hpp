#pragma once

#include "event_random.hpp"
#include "outgoing_link.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Returns the agent to send a request to without a grant: one that has its prefix cached if there is one,
/// then one of the entry's own failure domain if there is one; among equals that with more room of two drawn
/// at random, so that entries which see the same room do not all choose one agent (Mitzenmacher, "The Power
/// of Two Choices in Randomized Load Balancing", IEEE TPDS 2001). Null where `with_free_slots` is empty.
outgoing_link* choose_agent_without_grant(std::span<outgoing_link* const> with_free_slots,
                                          std::uint64_t prefix, std::string_view own_domain,
                                          event_random& random);

} // namespace hemlocknotch
