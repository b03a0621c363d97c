#include <hemlocknotch/gateway/cold_gate.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace hemlocknotch::gateway {

cold_gate::cold_gate(double requests_per_second, std::size_t gateways, double phase)
    : requests_per_second_{requests_per_second}, phase_{phase}
{
    assert(requests_per_second > 0.0);
    assert(phase >= 0.0 && phase < 1.0);
    set_gateways(gateways);
}

void cold_gate::restart(instant now)
{
    opens_at_ = std::max(opens_at_, now + std::chrono::duration_cast<duration>(interval_ * phase_));
}

void cold_gate::set_gateways(std::size_t gateways)
{
    assert(gateways >= 1);
    const std::chrono::duration<double> interval{static_cast<double>(gateways) /
                                                 (requests_per_second_ * rate_share)};
    interval_ = std::chrono::duration_cast<duration>(interval);
}

bool cold_gate::is_open(instant now) const
{
    return now >= opens_at_;
}

void cold_gate::on_send(instant now)
{
    opens_at_ = std::max(opens_at_, now) + interval_;
}

} // namespace hemlocknotch::gateway
