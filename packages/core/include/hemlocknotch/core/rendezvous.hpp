#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Returns the weight of `candidate` for `key`: a 64-bit hash of both. The candidate with the highest weight
/// owns the key (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). Never
/// fails.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);
/// The same for a key that is a number. The weights are those of its bytes.
std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate);

/// Returns the positions in `candidates` of the `n` with the highest weights for `key`, highest first; all
/// positions if there are fewer than `n` candidates. A candidate that joins or leaves does not change the
/// order of the others.
std::vector<std::size_t> rendezvous_choose(std::string_view key, std::span<const std::string> candidates,
                                           std::size_t n);

/// Returns whether `self` is among the `n` processes of its failure domain that watch the key-value service.
/// `same_domain` names all processes of the domain that are live in the instance list; `self` counts as one
/// of them even if it is missing.
bool is_watcher(std::string_view self, std::span<const std::string> same_domain, std::size_t n);

} // namespace hemlocknotch
