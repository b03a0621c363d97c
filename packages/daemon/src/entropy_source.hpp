#pragma once

#include <cstdint>
#include <random>

namespace hemlocknotch::daemon {

/// Source of the random bits in events, seeded by the operating system. Used by one thread.
class entropy_source {
public:
    entropy_source();

    /// Returns 64 random bits.
    std::uint64_t next() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace hemlocknotch::daemon
