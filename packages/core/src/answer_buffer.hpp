#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// A stretch of an answer's body.
struct answer_part {
    std::uint64_t offset = 0;
    /// Valid until the buffer changes.
    std::string_view bytes;
};

/// The body of an answer from the first byte that its entry has not acknowledged. Not safe for use by two
/// threads at once.
class answer_buffer {
public:
    /// Makes an empty buffer for a body whose bytes before `offset` are elsewhere already.
    explicit answer_buffer(std::uint64_t offset = 0) : begin_{offset}, next_{offset} {}

    /// Adds bytes that came from the endpoint.
    void append(std::string_view bytes) { bytes_.append(bytes); }

    /// Returns the next bytes to send, at most `max_bytes` of them and so that at most `window` are sent and
    /// not acknowledged; nothing where there are none. They count as sent.
    std::optional<answer_part> take_next(std::size_t max_bytes, std::size_t window);

    /// Forgets the bytes before `offset`. An offset beyond what was sent, or before one acknowledged earlier,
    /// changes nothing.
    void acknowledge(std::uint64_t offset);

    /// Sends again from `offset` on, or from the first byte kept where that is later. Returns whether
    /// `offset` lies within what has come so far.
    bool resend_from(std::uint64_t offset);

    /// Returns the length of the body as far as it has come.
    [[nodiscard]] std::uint64_t end() const { return begin_ + bytes_.size(); }

    /// Returns whether everything that has come was sent.
    [[nodiscard]] bool is_all_sent() const { return next_ == end(); }

    /// Returns the number of bytes kept.
    [[nodiscard]] std::size_t size() const { return bytes_.size(); }

private:
    std::uint64_t begin_;
    std::uint64_t next_;
    std::string bytes_;
};

} // namespace hemlocknotch
