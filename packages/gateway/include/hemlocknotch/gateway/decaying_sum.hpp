#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <cmath>

namespace hemlocknotch::gateway {

/// A sum in which what was added counts less the longer it is ago: exponential decay. Used by one thread at a
/// time.
class decaying_sum {
public:
    /// Precondition: `time_constant`, the time in which a weight falls to 1/e, is above zero.
    explicit decaying_sum(duration time_constant) : time_constant_{time_constant} {}

    /// Adds `amount` at `now`. Time never goes back.
    void add(double amount, instant now)
    {
        sum_ = value(now) + amount;
        at_ = now;
    }

    /// Replaces the sum.
    void set(double amount, instant now)
    {
        sum_ = amount;
        at_ = now;
    }

    /// Returns the sum as of `now`.
    [[nodiscard]] double value(instant now) const
    {
        return sum_ == 0.0 ? 0.0
                           : sum_ * std::exp(-std::chrono::duration<double>(now - at_) / time_constant_);
    }

    /// Returns the amount added in a second, averaged over the memory.
    [[nodiscard]] double per_second(instant now) const { return value(now) / time_constant_.count(); }

private:
    std::chrono::duration<double> time_constant_;
    double sum_ = 0.0;
    instant at_{};
};

} // namespace hemlocknotch::gateway
