#pragma once

#include <hemlocknotch/core/fair_order.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace hemlocknotch {

/// Returns the position in `backlogged` for which `counter_of(account)` is lowest, the first of equals;
/// nothing if `backlogged` is empty.
template <class Counter>
std::optional<std::size_t> lowest_counter(std::span<const backlogged_account> backlogged, Counter counter_of)
{
    std::optional<std::size_t> best;
    double lowest = 0.0;
    for (std::size_t n = 0; n < backlogged.size(); ++n) {
        const double value = counter_of(backlogged[n]);
        if (!best || value < lowest) {
            best = n;
            lowest = value;
        }
    }
    return best;
}

} // namespace hemlocknotch
