#include <hemlocknotch/core/random_order.hpp>

#include "event_random.hpp"

namespace hemlocknotch {

std::optional<std::size_t> random_order::next(std::span<const backlogged_account> backlogged,
                                              const service_ledger& /*ledger*/,
                                              const fair_order_context& context) const
{
    if (backlogged.empty()) {
        return std::nullopt;
    }
    double total = 0.0;
    for (const backlogged_account& it : backlogged) {
        total += it.weight;
    }
    double left = event_random{context.entropy}.next_fraction() * total;
    for (std::size_t n = 0; n + 1 < backlogged.size(); ++n) {
        left -= backlogged[n].weight;
        if (left < 0.0) {
            return n;
        }
    }
    return backlogged.size() - 1;
}

} // namespace hemlocknotch
