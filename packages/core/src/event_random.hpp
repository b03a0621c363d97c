#pragma once

#include <cstdint>
#include <random>

namespace hemlocknotch {

/// Numbers spread from the 64 random bits of one event. The same bits give the same numbers. Not safe for use
/// by two threads at once.
class event_random {
public:
    explicit event_random(std::uint64_t entropy) : engine_{fold(entropy)} {}

    /// Returns a number from 0 up to but not 1.
    double next_fraction() { return std::uniform_real_distribution<double>{}(engine_); }

    /// Returns 64 bits.
    std::uint64_t next_bits() { return std::uniform_int_distribution<std::uint64_t>{}(engine_); }

private:
    static std::uint32_t fold(std::uint64_t entropy)
    {
        constexpr unsigned half = 32;
        return static_cast<std::uint32_t>(entropy ^ (entropy >> half));
    }

    std::minstd_rand engine_;
};

} // namespace hemlocknotch
