#pragma once

#include <hemlocknotch/core/time.hpp>

namespace hemlocknotch {

/// Bounds retries to a share of recent requests, so that retries cannot multiply a failure: a token bucket
/// into which each request puts `share` of a token and from which each retry takes one ("Site Reliability
/// Engineering", 2016, chapter 21; the same form as in the Finagle library). A small reserve that refills
/// with time lets an entry with few requests retry.
class retry_budget {
public:
    static constexpr double max_tokens = 100.0;
    static constexpr double reserve_tokens = 10.0;
    static constexpr double reserve_per_second = 1.0;

    /// Makes a budget with a full reserve. Precondition: `share` is not negative.
    retry_budget(double share, instant now);

    /// Counts a request of a caller.
    void on_request();

    /// Takes a token for a retry. Returns whether there was one.
    bool try_spend(instant now);

private:
    double share_;
    double tokens_ = reserve_tokens;
    instant refilled_at_;
};

/// Returns the delay before try number `n` (from 1): exponential from `base` up to `limit`, of which a random
/// half to whole is taken, so that tries spread. `fraction` is a random number in [0, 1).
duration jittered_backoff(duration base, duration limit, unsigned n, double fraction);

} // namespace hemlocknotch
