#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstddef>

namespace hemlocknotch::gateway {

/// One gateway's part of the requests that a cold endpoint bears: a token bucket. Used by one thread at a
/// time.
class cold_rate_limiter {
public:
    /// Part of the stated rate that is used; the rest covers requests that are on their way together.
    static constexpr double rate_share = 0.8;

    /// Admits `requests_per_second` / `gateways`, single requests at a time. `phase`, in [0, 1), is this
    /// gateway's place in the first interval; drawn by each gateway for itself, it keeps their first requests
    /// apart. Preconditions: the rate is above zero, `gateways` at least 1.
    cold_rate_limiter(double requests_per_second, std::size_t gateways, double phase);

    /// The endpoint turned cold at `now`: the first interval begins.
    void restart(instant now);

    /// Changes the number of gateways that share the rate.
    void set_gateways(std::size_t gateways);

    /// Returns whether a request may go now.
    [[nodiscard]] bool may_admit(instant now) const;

    /// Counts a request that goes.
    void on_admitted(instant now);

    /// Returns when the next request may go.
    [[nodiscard]] instant next_admission() const { return next_admission_; }

private:
    double requests_per_second_;
    double phase_;
    duration interval_{};
    instant next_admission_{};
};

} // namespace hemlocknotch::gateway
