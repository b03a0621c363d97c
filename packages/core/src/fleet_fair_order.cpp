#include <hemlocknotch/core/fleet_fair_order.hpp>

#include "lowest_counter.hpp"

namespace hemlocknotch {

std::optional<std::size_t> fleet_fair_order::next(std::span<const backlogged_account> backlogged,
                                                  const service_ledger& ledger,
                                                  const fair_order_context& /*context*/) const
{
    return lowest_counter(backlogged, [&ledger](const backlogged_account& it) {
        return ledger.counter(it.client_account, it.weight);
    });
}

} // namespace hemlocknotch
