#pragma once

#include <hemlocknotch/core/message.hpp>

#include "dispatch_numbers.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::detail {

/// How a frame was understood.
enum class frame_kind : std::uint8_t {
    message,
    /// A short form with a number that is not known any more: it belongs to a dispatch long past.
    outdated,
    /// No message.
    malformed,
};

/// What one frame held.
struct decoded_frame {
    frame_kind kind = frame_kind::malformed;
    /// Unspecified unless `kind` is `message`.
    message content;
};

/// Encodes and decodes the messages of one link. Messages about one dispatch go in a short form: the number
/// of their kind plus `short_form_base`, then the dispatch's stream number in place of request id and
/// attempt, then the remaining fields. Everything else goes as `encode_message` writes it. Used by one
/// thread.
class link_codec {
public:
    /// Added to a kind's number in the short form.
    static constexpr std::uint64_t short_form_base = 64;

    /// Returns the frame for `value`. Never fails.
    std::string encode(const message& value);

    /// Reads a frame.
    decoded_frame decode(std::string_view bytes);

private:
    void remember(const message& value);

    dispatch_numbers numbers_;
};

} // namespace hemlocknotch::detail
