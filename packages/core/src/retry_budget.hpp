#pragma once

#include <hemlocknotch/core/time.hpp>

namespace hemlocknotch {

/// Limits retries to a share of recent requests, so that retries cannot amplify an overload: a token bucket
/// to which each request adds `share` of a token and from which each retry takes one ("Site Reliability
/// Engineering", 2016, chapter 21; the same form as in the Finagle library). A small reserve that refills
/// over time allows an entry process with few requests to retry.
class retry_budget {
public:
    static constexpr double max_tokens = 100.0;
    static constexpr double reserve_tokens = 10.0;
    static constexpr double reserve_per_second = 1.0;

    /// Creates a budget with a full reserve. Precondition: `share` is not negative.
    retry_budget(double share, instant now);

    /// Adds the share of one caller's request.
    void on_request();

    /// Takes a token for a retry. Returns false if there is none.
    bool try_spend(instant now);

private:
    double share_;
    double tokens_ = reserve_tokens;
    instant refilled_at_;
};

/// Returns the delay before retry number `n` (from 1): it grows exponentially from `base` to `limit` and is
/// multiplied by a random factor of at least one half and below one, so that retries spread out. `fraction`
/// is a random number in [0, 1).
duration jittered_backoff(duration base, duration limit, unsigned n, double fraction);

} // namespace hemlocknotch
