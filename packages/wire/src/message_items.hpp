#pragma once

#include <hemlocknotch/core/message.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace hemlocknotch::detail {

/// Decodes a message from `item`, the parsed output of `encode_message`, and moves strings out of it. Returns
/// nothing if `item` is not a message.
std::optional<message> decode_message(nlohmann::json& item);

} // namespace hemlocknotch::detail
