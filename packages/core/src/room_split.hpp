#pragma once

#include <hemlocknotch/core/link_id.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace hemlocknotch {

/// Room that one entry believes in.
struct link_room {
    link_id link = 0;
    std::uint32_t room = 0;

    friend bool operator==(const link_room&, const link_room&) = default;
};

/// Divides `places` among the links of `told` so that the sum never exceeds it, and returns the new room of
/// each in the same order. Each gets an equal part; where it does not come out even, the ones from position
/// `first` on get one more, so that agents with different `first` do not all favour the same entries.
/// To save messages, room is only raised from nothing or to at least the double.
std::vector<link_room> split_room(std::span<const link_room> told, std::uint32_t places, std::uint64_t first);

} // namespace hemlocknotch
