#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstddef>

namespace hemlocknotch::gateway {

/// Limits the requests that this gateway sends to an endpoint: one gateway's part of a rate for all gateways,
/// as a token bucket with one token. Used by one thread at a time.
class fleet_rate_limiter {
public:
    /// Admits `requests_per_second` / `gateways`, one request at a time. `phase`, in [0, 1), is the fraction
    /// of the first interval after which the first request is admitted; each gateway draws its own, which
    /// keeps their first requests apart. Preconditions: the rate is above zero, `gateways` is at least 1.
    fleet_rate_limiter(double requests_per_second, std::size_t gateways, double phase);

    /// Begins the first interval: the endpoint became cold at `now`.
    void restart(instant now);

    /// Changes the number of gateways that share the rate.
    void set_gateways(std::size_t gateways);

    /// Changes the rate for all gateways. Precondition: it is above zero.
    void set_rate(double requests_per_second);

    /// Returns whether a request may be sent at `now`.
    [[nodiscard]] bool may_admit(instant now) const;

    /// Counts a request that is sent at `now`.
    void on_admitted(instant now);

    /// Returns the time from which the next request is admitted.
    [[nodiscard]] instant next_admission() const { return next_admission_; }

private:
    void update_interval();

    double requests_per_second_;
    std::size_t gateways_ = 1;
    double phase_;
    duration interval_{};
    instant next_admission_{};
};

} // namespace hemlocknotch::gateway
