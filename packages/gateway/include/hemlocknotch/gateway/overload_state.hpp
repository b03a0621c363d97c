#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <limits>

namespace hemlocknotch::gateway {

/// Decides from how late requests are read how many new callers a gateway takes that lacks processor time.
/// The load that it answers: callers of one failure domain burst, the balancer spreads them without regard to
/// the processors of the gateways, and the small ones read nothing in time any more. The number of
/// connections that are taken in each interval grows by steps and falls by parts, as a window does in Chiu
/// and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989. Used by one
/// thread at a time.
class overload_state {
public:
    /// Delay from which fewer connections are taken, a part of the shortest objectives (150 ms) and of the
    /// time after which callers give up an unread request (a third of a second at the least).
    static constexpr duration shed_above = std::chrono::milliseconds{120};
    /// Delay below which more are taken again.
    static constexpr duration take_below = std::chrono::milliseconds{40};
    /// Delay from which the gateway counts as late: a quarter of the second after which callers abandon a
    /// request.
    static constexpr duration late_above = std::chrono::milliseconds{250};
    /// Factors and step of the number of connections for each interval.
    static constexpr double first_decrease = 0.1;
    static constexpr double decrease = 0.7;
    static constexpr double increase = 1.05;
    static constexpr double increase_step = 1.0;
    /// Time without a refused connection or a late request after which all connections are taken, and a
    /// gateway that was late counts as ready. The balancer needs two seconds to take out an instance, and the
    /// callers that it sends meanwhile are those that it could not serve.
    static constexpr duration recovery_time = std::chrono::seconds{1};

    /// Takes the present delay of requests at the end of an interval. Returns whether `is_late` or
    /// `is_shedding` has changed. Precondition: `now` is not earlier than in previous calls.
    bool note(duration delay, instant now);

    /// Returns whether a new connection is taken, and counts it.
    [[nodiscard]] bool take_connection();

    /// Returns whether connections are turned away, and others closed after their answer.
    [[nodiscard]] bool is_shedding() const { return is_shedding_; }

    /// Returns whether the load balancer should send no new callers.
    [[nodiscard]] bool is_late() const { return is_late_; }

    /// Returns the number of connections that were turned away.
    [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
    bool is_shedding_ = false;
    bool is_late_ = false;
    /// Connections that are taken in an interval while shedding, and those that came in this one.
    double limit_ = 0.0;
    std::uint64_t taken_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t refused_before_ = 0;
    instant disturbed_at_{};
};

} // namespace hemlocknotch::gateway
