#pragma once

#include <hemlocknotch/core/time.hpp>

#include "invariant_violation.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {

/// Counts the requests of one kind that end the endpoints which execute them. The platform bounds those that
/// reach endpoints `contact_bound` after a number of ends.
class crash_oracle {
public:
    static constexpr duration contact_bound = std::chrono::seconds{3};
    static constexpr unsigned max_late_arrivals = 3;

    /// `what` names the requests; the bound begins with the end number `counted_ends`.
    crash_oracle(std::string what, std::size_t counted_ends)
        : what_{std::move(what)}, counted_ends_{counted_ends}
    {
    }

    /// Such a request reaches an endpoint. Throws `invariant_violation`.
    void note_arrival(instant now)
    {
        if (ends_.size() >= counted_ends_ && now > ends_[counted_ends_ - 1] + contact_bound &&
            ++late_arrivals_ > max_late_arrivals) {
            throw invariant_violation{what_ + " were still sent"};
        }
    }

    /// The endpoint ends on it.
    void note_end(instant now) { ends_.push_back(now); }

private:
    std::string what_;
    std::size_t counted_ends_;
    std::vector<instant> ends_;
    unsigned late_arrivals_ = 0;
};

} // namespace hemlocknotch::gateway
