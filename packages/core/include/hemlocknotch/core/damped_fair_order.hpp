#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <optional>
#include <span>

namespace hemlocknotch {

/// Strength of the two terms by which the damped order prevents herding. 0 leaves a term out.
struct damping_options {
    /// Own service since the last report counts `1 + extrapolation * (n - 1)` times for `n` agents.
    double extrapolation = 0.0;
    /// Width of the random term, as a multiple of the units that the fleet charges between two reports.
    double spread = 0.5;
};

/// Serves the client account with the lowest fleet-wide virtual counter (Sheng et al., "Fairness in Serving
/// Large Language Models", OSDI 2024), damped against herding.
///
/// Between two reports all agents see the same account as the lowest, and each of them would serve it
/// (herding). Two terms that depend on the number of agents `n` prevent that:
/// - this agent's own service since the last report is extrapolated to all `n` agents, as if each of them had
///   served the same account meanwhile;
/// - each account's counter gets a random term, drawn for each choice, between zero and a multiple of what
///   the fleet charges between two reports (`n` times what this agent charges), so that agents that see the
///   same counters choose differently. docs/FAIR-ORDER.md derives both terms and the bound on the difference
///   between accounts. Immutable; needs no locks beyond those of the ledger.
class damped_fair_order final : public fair_order {
public:
    /// Precondition: no option is below zero.
    explicit damped_fair_order(const damping_options& options = {});

    /// Returns the position of the account with the lowest damped counter; nothing if `backlogged` is empty.
    /// `ledger` has the counters of the service that each account has received from this agent and from the
    /// fleet.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& context) const override;

private:
    damping_options options_;
};

} // namespace hemlocknotch
