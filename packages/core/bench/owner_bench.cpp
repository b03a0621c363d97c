// Compares two ways to choose the owner of a key without coordination: rendezvous hashing, and the smallest
// XOR distance between hashed identifiers (Heep, "R/Kademlia: Recursive and Topology-aware Overlay Routing",
// 2010, section III). Prints the load of the busiest candidate divided by the mean load, the share of keys
// whose owner changes when one candidate is removed, and the share that would change with perfect balance.

#include <hemlocknotch/core/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace {

using owner_function = std::function<std::size_t(const std::string& key, const std::vector<std::string>&)>;

std::uint64_t identifier_of(const std::string& name)
{
    return XXH64(name.data(), name.size(), 0);
}

std::size_t closest_by_xor(const std::string& key, const std::vector<std::string>& candidates)
{
    const std::uint64_t target = identifier_of(key);
    const auto is_closer = [target](const std::string& a, const std::string& b) {
        return (identifier_of(a) ^ target) < (identifier_of(b) ^ target);
    };
    const auto it = std::min_element(candidates.begin(), candidates.end(), is_closer);
    return static_cast<std::size_t>(it - candidates.begin());
}

std::size_t highest_by_rendezvous(const std::string& key, const std::vector<std::string>& candidates)
{
    return hemlocknotch::rendezvous_choose(key, candidates, 1).front();
}

std::vector<std::string> names(const std::string& prefix, std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t n = 0; n < count; ++n) {
        result.push_back(prefix + std::to_string(n));
    }
    return result;
}

struct balance {
    double busiest_over_mean = 0.0;
    double moved_share = 0.0;
    double fair_moved_share = 0.0;
};

balance measure(const owner_function& owner_of, const std::vector<std::string>& keys,
                const std::vector<std::string>& candidates)
{
    std::vector<std::string> fewer = candidates;
    fewer.pop_back();
    std::vector<std::size_t> load(candidates.size());
    std::size_t moved = 0;
    for (const std::string& key : keys) {
        const std::size_t owner = owner_of(key, candidates);
        ++load[owner];
        moved += candidates[owner] != fewer[owner_of(key, fewer)] ? 1 : 0;
    }
    const double mean = static_cast<double>(keys.size()) / static_cast<double>(candidates.size());
    return {static_cast<double>(*std::max_element(load.begin(), load.end())) / mean,
            static_cast<double>(moved) / static_cast<double>(keys.size()),
            1.0 / static_cast<double>(candidates.size())};
}

void print_balance(const char* name, const owner_function& owner_of, std::size_t candidate_count)
{
    constexpr std::size_t key_count = 9400;
    const balance it =
        measure(owner_of, names("client-account-", key_count), names("entry-", candidate_count));
    std::printf("%-12s %10zu %17.2f %12.4f %12.4f\n", name, candidate_count, it.busiest_over_mean,
                it.moved_share, it.fair_moved_share);
}

} // namespace

int main()
{
    std::printf("%-12s %10s %17s %12s %12s\n", "way", "candidates", "busiest_over_mean", "moved",
                "fair_moved");
    for (const std::size_t candidate_count : {3U, 22U, 139U, 400U}) {
        print_balance("xor", closest_by_xor, candidate_count);
        print_balance("rendezvous", highest_by_rendezvous, candidate_count);
    }
    return 0;
}
