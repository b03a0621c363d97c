#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <optional>
#include <span>

namespace hemlocknotch {

/// Baseline: serves the account with the lowest fleet-wide counter according to the last reports, without
/// damping. Immutable; needs no locks beyond those of the ledger.
class fleet_fair_order final : public fair_order {
public:
    /// Returns the position of the account with the lowest counter, the first of equals; nothing if
    /// `backlogged` is empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& context) const override;
};

} // namespace hemlocknotch
