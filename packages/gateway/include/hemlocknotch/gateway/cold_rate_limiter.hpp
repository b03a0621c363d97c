#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstddef>

namespace hemlocknotch::gateway {

/// Limits the requests that this gateway sends to a cold endpoint: one gateway's part of the rate that the
/// endpoint sustains, as a token bucket with one token. Used by one thread at a time.
class cold_rate_limiter {
public:
    /// Fraction of the configured rate that is used. The rest is a margin for requests of several gateways
    /// that arrive together.
    static constexpr double rate_share = 0.8;

    /// Admits `requests_per_second` / `gateways`, one request at a time. `phase`, in [0, 1), is the fraction
    /// of the first interval after which the first request is admitted; each gateway draws its own, which
    /// keeps their first requests apart. Preconditions: the rate is above zero, `gateways` is at least 1.
    cold_rate_limiter(double requests_per_second, std::size_t gateways, double phase);

    /// Begins the first interval: the endpoint became cold at `now`.
    void restart(instant now);

    /// Changes the number of gateways that share the rate.
    void set_gateways(std::size_t gateways);

    /// Returns whether a request may be sent at `now`.
    [[nodiscard]] bool may_admit(instant now) const;

    /// Counts a request that is sent at `now`.
    void on_admitted(instant now);

    /// Returns the time from which the next request is admitted.
    [[nodiscard]] instant next_admission() const { return next_admission_; }

private:
    double requests_per_second_;
    double phase_;
    duration interval_{};
    instant next_admission_{};
};

} // namespace hemlocknotch::gateway
