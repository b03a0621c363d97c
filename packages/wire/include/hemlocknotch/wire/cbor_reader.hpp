#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace hemlocknotch::detail {

/// Reads one CBOR item (RFC 8949). Returns nothing if `bytes` is not exactly one item that the library
/// accepts, if it holds an object, or if arrays are nested more deeply than in any message. Thread-safe.
std::optional<nlohmann::json> read_cbor(std::string_view bytes);

} // namespace hemlocknotch::detail
