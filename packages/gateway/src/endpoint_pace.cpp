#include <hemlocknotch/gateway/endpoint_pace.hpp>

#include <algorithm>
#include <cmath>

namespace hemlocknotch::gateway {
namespace {

/// Returns the part of a value that is left after `passed`, with `time_constant`.
double remainder(duration passed, duration time_constant)
{
    return std::exp(-std::chrono::duration<double>(passed) / std::chrono::duration<double>(time_constant));
}

} // namespace

void endpoint_pace::note(double pace, instant now)
{
    const auto bounded = std::clamp(pace, min_pace, max_pace);
    const auto kept = noted_at_ == instant::min() ? 0.0 : remainder(now - noted_at_, averaging_time);
    mean_ = bounded + (mean_ - bounded) * kept;
    noted_at_ = now;
}

double endpoint_pace::value(instant now) const
{
    return noted_at_ == instant::min() ? 1.0
                                       : 1.0 + (mean_ - 1.0) * remainder(now - noted_at_, forgetting_time);
}

} // namespace hemlocknotch::gateway
