#include "dispatch_rate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlocknotch {
namespace {

using seconds = std::chrono::duration<double>;

double decay(duration passed)
{
    return std::exp(-seconds{passed} / seconds{dispatch_rate::averaging_time});
}

} // namespace

void dispatch_rate::on_dispatch(account_key client_account, instant now)
{
    add(accounts_[client_account], now);
    add(all_, now);
}

duration dispatch_rate::time_for_account(account_key client_account, std::size_t waiting, instant now) const
{
    const auto it = accounts_.find(client_account);
    return it == accounts_.end() ? max_retry_after : time_for(it->second, waiting, now);
}

duration dispatch_rate::time_for_all(std::size_t waiting, instant now) const
{
    return time_for(all_, waiting, now);
}

void dispatch_rate::add(decaying_count& value, instant now)
{
    value.count = value.count * decay(now - value.at) + 1.0;
    value.at = now;
}

duration dispatch_rate::time_for(const decaying_count& value, std::size_t waiting, instant now)
{
    const double per_second = value.count * decay(now - value.at) / seconds{averaging_time}.count();
    const double wanted = static_cast<double>(waiting) / std::max(per_second, 1e-9);
    const double bounded =
        std::clamp(wanted, seconds{min_retry_after}.count(), seconds{max_retry_after}.count());
    return std::chrono::duration_cast<duration>(seconds{bounded});
}

} // namespace hemlocknotch
