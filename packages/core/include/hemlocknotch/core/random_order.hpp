#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <optional>
#include <span>

namespace hemlocknotch {

/// Baseline: serves any backlogged account, each as likely as its weight. Immutable; safe to share.
class random_order final : public fair_order {
public:
    /// Returns a position drawn from `context.entropy`; nothing where `backlogged` is empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& context) const override;
};

} // namespace hemlocknotch
