#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>

namespace hemlocknotch::daemon {

/// Returns `interval` changed by up to a quarter of it either way, as the random bits `entropy` say, so that
/// processes that started together do not call together. Pure.
duration with_jitter(duration interval, std::uint64_t entropy);

} // namespace hemlocknotch::daemon
