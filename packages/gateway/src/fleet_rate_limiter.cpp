#include <hemlocknotch/gateway/fleet_rate_limiter.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace hemlocknotch::gateway {

fleet_rate_limiter::fleet_rate_limiter(double requests_per_second, std::size_t gateways, double phase)
    : requests_per_second_{requests_per_second}, phase_{phase}
{
    assert(requests_per_second > 0.0);
    assert(phase >= 0.0 && phase < 1.0);
    set_gateways(gateways);
}

void fleet_rate_limiter::restart(instant now)
{
    next_admission_ =
        std::max(next_admission_, now + std::chrono::duration_cast<duration>(interval_ * phase_));
}

void fleet_rate_limiter::set_gateways(std::size_t gateways)
{
    assert(gateways >= 1);
    gateways_ = gateways;
    update_interval();
}

void fleet_rate_limiter::set_rate(double requests_per_second)
{
    assert(requests_per_second > 0.0);
    requests_per_second_ = requests_per_second;
    update_interval();
}

void fleet_rate_limiter::update_interval()
{
    const std::chrono::duration<double> interval{static_cast<double>(gateways_) / requests_per_second_};
    interval_ = std::chrono::duration_cast<duration>(interval);
}

bool fleet_rate_limiter::may_admit(instant now) const
{
    return now >= next_admission_;
}

void fleet_rate_limiter::on_admitted(instant now)
{
    next_admission_ = std::max(next_admission_, now) + interval_;
}

} // namespace hemlocknotch::gateway
