#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace hemlocknotch::detail {

/// Reads one CBOR item (RFC 8949). Returns nothing where `bytes` is not exactly one item that the library
/// reads, or where arrays stand inside each other more deeply than any message has them.
std::optional<nlohmann::json> read_cbor(std::string_view bytes);

} // namespace hemlocknotch::detail
