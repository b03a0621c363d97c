#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace hemlocknotch::detail {

/// Returns whether each string in `bytes`, which are CBOR (RFC 8949), states its length and is complete. The
/// library's reader recurses at each level of a string that does not, and would overflow the stack.
/// Thread-safe.
bool has_stated_lengths(std::string_view bytes);

/// Reads one CBOR item. Returns nothing if `bytes` is not exactly one item that the library accepts, if it
/// holds an object or a string without a stated length, or if arrays are nested more deeply than in any
/// message. Thread-safe.
std::optional<nlohmann::json> read_cbor(std::string_view bytes);

} // namespace hemlocknotch::detail
