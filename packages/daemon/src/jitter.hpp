#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>

namespace hemlocknotch::daemon {

/// Returns `interval` lengthened or shortened by up to a quarter, depending on the random bits `entropy`, so
/// that processes that started together do not call a service at the same time. Pure.
duration with_jitter(duration interval, std::uint64_t entropy);

} // namespace hemlocknotch::daemon
