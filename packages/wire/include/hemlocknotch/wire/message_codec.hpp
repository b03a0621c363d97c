#pragma once

#include <hemlocknotch/core/message.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Encodes `value` as one CBOR item (RFC 8949): an array of the number of its kind and its fields, in the
/// order in which `message_fields.hpp` lists them. Never fails.
std::string encode_message(const message& value);

/// Decodes the output of `encode_message`. Returns nothing if `bytes` is not such an item, if a field is
/// missing or out of range, or if bytes follow the item.
std::optional<message> decode_message(std::string_view bytes);

/// Returns the number of request or answer body bytes in `value`. The remaining bytes of an encoded message
/// are control traffic.
std::size_t body_bytes_of(const message& value);

} // namespace hemlocknotch
