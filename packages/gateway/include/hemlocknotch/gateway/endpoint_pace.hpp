#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>

namespace hemlocknotch::gateway {

/// How long work takes at an endpoint at present, as a multiple of its usual time, from what its answers
/// state. An endpoint that shares its machine with others changes its pace many times a second, so that one
/// figure is out of date when it arrives: the mean over about a second says more of the next request. Used by
/// one thread at a time.
class endpoint_pace {
public:
    /// Time constant of the mean.
    static constexpr duration averaging_time = std::chrono::seconds{1};
    /// Time in which a pace that is not stated any more returns to the usual one by 63%.
    static constexpr duration forgetting_time = std::chrono::seconds{3};
    /// Bounds of a figure that is taken into the mean.
    static constexpr double min_pace = 0.2;
    static constexpr double max_pace = 10.0;

    /// Takes a figure into the mean. 1: as usual; 2: work takes twice as long. Precondition: `now` is not
    /// earlier than in previous calls.
    void note(double pace, instant now);

    /// Returns the pace as of `now`; 1 where none was stated.
    [[nodiscard]] double value(instant now) const;

private:
    double mean_ = 1.0;
    /// `instant::min()`: nothing was stated.
    instant noted_at_ = instant::min();
};

} // namespace hemlocknotch::gateway
