#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <optional>
#include <span>

namespace hemlocknotch {

/// Serves the client account with the lowest fleet-wide virtual counter (Sheng et al., "Fairness in Serving
/// Large Language Models", OSDI 2024), damped against herding.
///
/// Between two exchanges of reports all agents see the same lowest account, and each would serve it. Two
/// terms undo that, both worked out from the number of agents `n`:
/// - own service since the last report counts `n` times, as if every agent had served the same meanwhile;
/// - each account's counter gets a random term, drawn anew for each choice, between zero and `n` times half
///   the mean cost of a request over its weight, so that agents that see the same counters choose
///   differently.
/// docs/FAIR-ORDER.md derives both and the bound on the gap. Immutable; its use needs no locks beyond those
/// of the ledger.
class damped_fair_order final : public fair_order {
public:
    /// Returns the position of the account with the lowest damped counter; nothing where `backlogged` is
    /// empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& context) const override;
};

} // namespace hemlocknotch
