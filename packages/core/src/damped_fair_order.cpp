#include <hemlocknotch/core/damped_fair_order.hpp>

#include "choice_random.hpp"
#include "lowest_counter.hpp"

namespace hemlocknotch {
namespace {

/// Width of the random term, in mean requests for each agent of the service.
constexpr double requests_per_agent = 0.5;

} // namespace

std::optional<std::size_t> damped_fair_order::next(std::span<const backlogged_account> backlogged,
                                                   const service_ledger& ledger,
                                                   const fair_order_context& context) const
{
    const auto n = static_cast<double>(context.agent_count);
    const double width = n > 1.0 ? requests_per_agent * n * context.mean_cost : 0.0;
    choice_random random{context.entropy};
    return lowest_counter(backlogged, [&](const backlogged_account& it) {
        const double others = (n - 1.0) * ledger.own_since_report(it.client_account);
        const double random_term = random.next_unit() * width;
        return ledger.counter(it.client_account, it.weight) + (others + random_term) / it.weight;
    });
}

} // namespace hemlocknotch
