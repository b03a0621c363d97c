#pragma once

#include <hemlocknotch/core/link_id.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace hemlocknotch {

/// Free slots that are advertised to the entry on one link.
struct link_slots {
    link_id link = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const link_slots&, const link_slots&) = default;
};

/// Divides `total` slots among the links of `advertised` so that the sum never exceeds `total`, and returns
/// the new number for each link in the same order. Each link gets an equal share; the remainder goes to the
/// links from position `first` on, one slot each, so that agents with different `first` do not all favour the
/// same entries. To save messages, a number is raised only from 0, or to at least its double.
std::vector<link_slots> split_slots(std::span<const link_slots> advertised, std::uint32_t total,
                                    std::uint64_t first);

} // namespace hemlocknotch
