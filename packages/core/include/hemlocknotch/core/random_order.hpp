#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <optional>
#include <span>

namespace hemlocknotch {

/// Baseline: serves a random backlogged account, with a probability proportional to its weight. Immutable;
/// safe for concurrent use.
class random_order final : public fair_order {
public:
    /// Returns a position drawn from `context.entropy`; nothing if `backlogged` is empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& context) const override;
};

} // namespace hemlocknotch
