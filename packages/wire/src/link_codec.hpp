#pragma once

#include <hemlocknotch/core/message.hpp>

#include "dispatch_numbers.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::detail {

/// Result of decoding a frame.
enum class frame_kind : std::uint8_t {
    message,
    /// A message in short form whose dispatch number is no longer known, since many dispatches have followed
    /// it.
    outdated,
    /// Not a message.
    malformed,
};

/// The content of one frame.
struct decoded_frame {
    frame_kind kind = frame_kind::malformed;
    /// Unspecified unless `kind` is `message`.
    message content;
};

/// Encodes and decodes the messages of one end of a link. Messages about a dispatch are sent in a short form:
/// the number of their kind plus `short_form_base`, the number of the dispatch on this link in place of
/// request id and attempt, and the remaining fields. All other messages, and those of a dispatch without a
/// current number, are sent as `encode_message` encodes them. Not thread-safe.
class link_codec {
public:
    /// Added to the number of the message kind in the short form.
    static constexpr std::uint64_t short_form_base = 64;

    /// Encodes `value` as a frame. Never fails.
    std::string encode(const message& value);

    /// Decodes a frame. Frames must be passed in the order in which the peer encoded them.
    decoded_frame decode(std::string_view bytes);

private:
    void assign_number(const message& value);

    dispatch_numbers numbers_;
};

} // namespace hemlocknotch::detail
