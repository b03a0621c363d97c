#include <hemlocknotch/gateway/retry_budget.hpp>

#include <algorithm>
#include <cassert>

namespace hemlocknotch::gateway {

retry_budget::retry_budget(const retry_bound& bound, std::size_t gateways)
    : bound_{bound},
      capacity_{bound.reserve * reserve_share / static_cast<double>(gateways)},
      tokens_{capacity_}
{
    assert(gateways >= 1);
}

void retry_budget::set_gateways(std::size_t gateways)
{
    assert(gateways >= 1);
    capacity_ = bound_.reserve * reserve_share / static_cast<double>(gateways);
    tokens_ = std::min(tokens_, capacity_);
}

void retry_budget::on_request()
{
    tokens_ = std::min(capacity_, tokens_ + bound_.ratio * ratio_share);
}

bool retry_budget::try_spend()
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace hemlocknotch::gateway
