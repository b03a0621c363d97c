#include "slot_split.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

std::vector<link_slots> split_slots(std::span<const link_slots> told, std::uint32_t total,
                                    std::uint64_t first)
{
    std::vector<link_slots> shares{told.begin(), told.end()};
    if (shares.empty()) {
        return shares;
    }
    const auto n = static_cast<std::uint32_t>(shares.size());
    const auto start = static_cast<std::uint32_t>(first % n);
    const auto part_of = [&](std::uint32_t position) {
        const std::uint32_t rank = (position + n - start) % n;
        return total / n + (rank < total % n ? 1U : 0U);
    };
    std::uint32_t sum = 0;
    for (const link_slots& it : shares) {
        sum += it.slots;
    }
    if (sum > total) {
        sum = 0;
        for (std::uint32_t k = 0; k < n; ++k) {
            shares[k].slots = std::min(shares[k].slots, part_of(k));
            sum += shares[k].slots;
        }
    }
    for (std::uint32_t k = 0; k < n; ++k) {
        const std::uint32_t wanted = std::min(part_of(k), shares[k].slots + (total - sum));
        if (wanted > shares[k].slots && wanted >= 2 * shares[k].slots) {
            sum += wanted - shares[k].slots;
            shares[k].slots = wanted;
        }
    }
    assert(sum <= total);
    return shares;
}

} // namespace hemlocknotch
