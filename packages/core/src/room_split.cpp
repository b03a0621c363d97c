#include "room_split.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

std::vector<link_room> split_room(std::span<const link_room> told, std::uint32_t places, std::uint64_t first)
{
    std::vector<link_room> rooms{told.begin(), told.end()};
    if (rooms.empty()) {
        return rooms;
    }
    const auto n = static_cast<std::uint32_t>(rooms.size());
    const auto start = static_cast<std::uint32_t>(first % n);
    const auto part_of = [&](std::uint32_t position) {
        const std::uint32_t rank = (position + n - start) % n;
        return places / n + (rank < places % n ? 1U : 0U);
    };
    std::uint32_t sum = 0;
    for (const link_room& it : rooms) {
        sum += it.room;
    }
    if (sum > places) {
        sum = 0;
        for (std::uint32_t k = 0; k < n; ++k) {
            rooms[k].room = std::min(rooms[k].room, part_of(k));
            sum += rooms[k].room;
        }
    }
    for (std::uint32_t k = 0; k < n; ++k) {
        const std::uint32_t wanted = std::min(part_of(k), rooms[k].room + (places - sum));
        if (wanted > rooms[k].room && wanted >= 2 * rooms[k].room) {
            sum += wanted - rooms[k].room;
            rooms[k].room = wanted;
        }
    }
    assert(sum <= places);
    return rooms;
}

} // namespace hemlocknotch
