#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <optional>
#include <span>

namespace hemlocknotch {

/// How strongly the damped order is damped. Both are set against herding; 0 leaves a term out.
struct damping_options {
    /// Own service since the last report counts `1 + extrapolation * (n - 1)` times for `n` agents.
    double extrapolation = 0.0;
    /// Width of the random term, in units that the fleet charges between two reports.
    double spread = 0.5;
};

/// Serves the client account with the lowest fleet-wide virtual counter (Sheng et al., "Fairness in Serving
/// Large Language Models", OSDI 2024), damped against herding.
///
/// Between two exchanges of reports all agents see the same lowest account, and each would serve it. Two
/// terms undo that, both worked out from the number of agents `n`:
/// - own service since the last report counts `n` times, as if every agent had served the same meanwhile;
/// - each account's counter gets a random term, drawn anew for each choice, between zero and what the fleet
///   charges between two reports (`n` times what this agent does), so that agents that see the same counters
///   choose differently.
/// docs/FAIR-ORDER.md derives both and the bound on the gap. Immutable; its use needs no locks beyond those
/// of the ledger.
class damped_fair_order final : public fair_order {
public:
    /// Precondition: no option is below zero.
    explicit damped_fair_order(const damping_options& options = {});

    /// Returns the position of the account with the lowest damped counter; nothing where `backlogged` is
    /// empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& context) const override;

private:
    damping_options options_;
};

} // namespace hemlocknotch
