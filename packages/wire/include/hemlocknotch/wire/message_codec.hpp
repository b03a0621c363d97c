#pragma once

#include <hemlocknotch/core/message.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Returns `value` as one CBOR item (RFC 8949): an array of the kind's number and the fields in the order of
/// their declaration. Never fails.
std::string encode_message(const message& value);

/// Reads what `encode_message` writes. Returns nothing where `bytes` is no such item, or a field is missing
/// or out of range, or bytes follow it.
std::optional<message> decode_message(std::string_view bytes);

/// Returns how many bytes of an encoded message are a request's or an answer's own body, which control
/// traffic does not count.
std::size_t body_bytes_of(const message& value);

} // namespace hemlocknotch
