#include "slot_split.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

std::vector<link_slots> split_slots(std::span<const link_slots> advertised, std::uint32_t total,
                                    std::uint64_t first)
{
    std::vector<link_slots> shares{advertised.begin(), advertised.end()};
    if (shares.empty()) {
        return shares;
    }
    const auto n = static_cast<std::uint32_t>(shares.size());
    const auto start = static_cast<std::uint32_t>(first % n);
    const auto share_of = [&](std::uint32_t position) {
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
            shares[k].slots = std::min(shares[k].slots, share_of(k));
            sum += shares[k].slots;
        }
    }
    for (std::uint32_t k = 0; k < n; ++k) {
        const std::uint32_t target = std::min(share_of(k), shares[k].slots + (total - sum));
        if (target > shares[k].slots && target >= 2 * shares[k].slots) {
            sum += target - shares[k].slots;
            shares[k].slots = target;
        }
    }
    assert(sum <= total);
    return shares;
}

} // namespace hemlocknotch
