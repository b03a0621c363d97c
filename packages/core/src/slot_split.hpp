#pragma once

#include <hemlocknotch/core/link_id.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace hemlocknotch {

/// Room that one entry believes in.
struct link_slots {
    link_id link = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const link_slots&, const link_slots&) = default;
};

/// Divides `total` among the links of `told` so that the sum never exceeds it, and returns the new room of
/// each in the same order. Each gets an equal part; where it does not come out even, the ones from position
/// `first` on get one more, so that agents with different `first` do not all favour the same entries.
/// To save messages, room is only raised from nothing or to at least the double.
std::vector<link_slots> split_slots(std::span<const link_slots> told, std::uint32_t total,
                                    std::uint64_t first);

} // namespace hemlocknotch
