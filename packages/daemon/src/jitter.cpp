#include "jitter.hpp"

namespace hemlocknotch::daemon {

duration with_jitter(duration interval, std::uint64_t entropy)
{
    const auto spread = interval.count() / 2;
    if (spread <= 0) {
        return interval;
    }
    const auto offset = static_cast<duration::rep>(entropy % static_cast<std::uint64_t>(spread));
    return interval - duration{spread / 2} + duration{offset};
}

} // namespace hemlocknotch::daemon
