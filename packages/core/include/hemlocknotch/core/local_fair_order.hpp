#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <optional>
#include <span>

namespace hemlocknotch {

/// Baseline: serves the account that has received the least service from this agent, ignoring all other
/// agents. Immutable; needs no locks beyond those of the ledger.
class local_fair_order final : public fair_order {
public:
    /// Returns the position of the account with the least weighted service from this agent, the first of
    /// equals; nothing if `backlogged` is empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& context) const override;
};

} // namespace hemlocknotch
