#include <hemlocknotch/gateway/cold_rate_limiter.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace hemlocknotch::gateway {

cold_rate_limiter::cold_rate_limiter(double requests_per_second, std::size_t gateways, double phase)
    : requests_per_second_{requests_per_second}, phase_{phase}
{
    assert(requests_per_second > 0.0);
    assert(phase >= 0.0 && phase < 1.0);
    set_gateways(gateways);
}

void cold_rate_limiter::restart(instant now)
{
    next_admission_ =
        std::max(next_admission_, now + std::chrono::duration_cast<duration>(interval_ * phase_));
}

void cold_rate_limiter::set_gateways(std::size_t gateways)
{
    assert(gateways >= 1);
    const std::chrono::duration<double> interval{static_cast<double>(gateways) /
                                                 (requests_per_second_ * rate_share)};
    interval_ = std::chrono::duration_cast<duration>(interval);
}

bool cold_rate_limiter::may_admit(instant now) const
{
    return now >= next_admission_;
}

void cold_rate_limiter::on_admitted(instant now)
{
    next_admission_ = std::max(next_admission_, now) + interval_;
}

} // namespace hemlocknotch::gateway
