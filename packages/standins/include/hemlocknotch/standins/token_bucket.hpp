#pragma once

#include <hemlocknotch/core/time.hpp>

namespace hemlocknotch::standins {

/// A rate limit: a token bucket that holds up to one second's calls. Not thread-safe.
class token_bucket {
public:
    /// Makes a full bucket; `per_second` 0 sets no limit.
    explicit token_bucket(double per_second) : per_second_{per_second}, tokens_{per_second} {}

    /// Takes one token at time `at`. Returns false where there is none.
    bool take(instant at)
    {
        if (per_second_ <= 0) {
            return true;
        }
        const std::chrono::duration<double> elapsed = at - last_;
        last_ = at;
        tokens_ += elapsed.count() * per_second_;
        if (tokens_ > per_second_) {
            tokens_ = per_second_;
        }
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    double per_second_;
    double tokens_;
    instant last_{};
};

} // namespace hemlocknotch::standins
