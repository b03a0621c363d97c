#include "descriptor_limit.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace hemlocknotch::daemon {

std::size_t raise_descriptor_limit(std::size_t wanted)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return wanted;
    }
    if (const auto raised = std::min<rlim_t>(wanted, limit.rlim_max); raised > limit.rlim_cur) {
        auto to_set = limit;
        to_set.rlim_cur = raised;
        if (setrlimit(RLIMIT_NOFILE, &to_set) == 0) {
            limit = to_set;
        }
    }
    return limit.rlim_cur;
}

} // namespace hemlocknotch::daemon
