#pragma once

#include <hemlocknotch/core/message.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace hemlocknotch::detail {

/// Reads a message from the CBOR item that `encode_message` writes, which it uses up. Returns nothing where
/// it is no message.
std::optional<message> decode_message(nlohmann::json& item);

} // namespace hemlocknotch::detail
