#include <hemlocknotch/core/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <numeric>

namespace hemlocknotch {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate)
{
    const XXH64_hash_t seed = XXH64(key.data(), key.size(), 0);
    return XXH64(candidate.data(), candidate.size(), seed);
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate)
{
    std::array<char, sizeof key> bytes{};
    std::memcpy(bytes.data(), &key, sizeof key);
    return rendezvous_weight(std::string_view{bytes.data(), bytes.size()}, candidate);
}

std::vector<std::size_t> rendezvous_choose(std::string_view key, std::span<const std::string> candidates,
                                           std::size_t n)
{
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (const std::string& it : candidates) {
        weights.push_back(rendezvous_weight(key, it));
    }
    std::vector<std::size_t> chosen(candidates.size());
    std::iota(chosen.begin(), chosen.end(), std::size_t{0});
    const std::size_t count = std::min(n, chosen.size());
    const auto is_before = [&](std::size_t a, std::size_t b) {
        // Ties are resolved by name, so that the order of the candidates does not matter.
        return weights[a] != weights[b] ? weights[a] > weights[b] : candidates[a] < candidates[b];
    };
    const auto middle = chosen.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(chosen.begin(), middle, chosen.end(), is_before);
    chosen.resize(count);
    return chosen;
}

bool is_watcher(std::string_view self, std::span<const std::string> same_domain, std::size_t n)
{
    constexpr std::string_view key = "hemlocknotch/configuration";
    const std::uint64_t own = rendezvous_weight(key, self);
    std::size_t before = 0;
    for (const std::string& it : same_domain) {
        const std::uint64_t other = rendezvous_weight(key, it);
        if (it != self && (other != own ? other > own : it < self)) {
            ++before;
        }
    }
    return before < n;
}

} // namespace hemlocknotch
