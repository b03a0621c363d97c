#include <hemlocknotch/core/damped_fair_order.hpp>

#include "event_random.hpp"
#include "lowest_counter.hpp"

#include <cassert>
#include <chrono>

namespace hemlocknotch {

damped_fair_order::damped_fair_order(const damping_options& options) : options_{options}
{
    assert(options_.extrapolation >= 0.0);
    assert(options_.spread >= 0.0);
}

std::optional<std::size_t> damped_fair_order::next(std::span<const backlogged_account> backlogged,
                                                   const service_ledger& ledger,
                                                   const fair_order_context& context) const
{
    const auto n = static_cast<double>(context.agent_count);
    const double interval = std::chrono::duration<double>(context.report_interval).count();
    const double fleet_charges = n * context.own_rate * interval;
    const double width = n > 1.0 ? options_.spread * fleet_charges : 0.0;
    const double factor = options_.extrapolation * (n - 1.0);
    event_random random{context.entropy};
    return lowest_counter(backlogged, [&](const backlogged_account& it) {
        const double others = factor * ledger.own_charge_since_report(it.client_account);
        const double random_term = random.next_fraction() * width;
        return ledger.counter(it.client_account, it.weight) + (others + random_term) / it.weight;
    });
}

} // namespace hemlocknotch
