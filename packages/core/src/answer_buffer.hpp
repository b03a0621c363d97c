#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Consecutive bytes of an answer's body.
struct answer_part {
    std::uint64_t offset = 0;
    /// Valid until the buffer changes.
    std::string_view bytes;
};

/// Buffers the body of an answer from the first byte that the entry has not acknowledged. Not safe for use by
/// two threads at once.
class answer_buffer {
public:
    /// Creates an empty buffer for a body whose bytes before `offset` the entry has received already.
    explicit answer_buffer(std::uint64_t offset = 0) : begin_{offset}, next_{offset} {}

    /// Adds bytes received from the endpoint.
    void append(std::string_view bytes) { bytes_.append(bytes); }

    /// Returns the next bytes to send and marks them as sent; nothing if there are none to send. Returns at
    /// most `max_bytes`, and only as many as leave at most `window` bytes sent and not acknowledged.
    std::optional<answer_part> take_next(std::size_t max_bytes, std::size_t window);

    /// Discards the bytes before `offset`. An offset beyond the bytes sent, or not above one acknowledged
    /// earlier, changes nothing.
    void acknowledge(std::uint64_t offset);

    /// Marks the bytes from `offset` on, or from the first buffered byte if that is later, as not sent.
    /// Returns false and changes nothing if `offset` lies beyond the bytes received so far.
    bool resend_from(std::uint64_t offset);

    /// Returns the length of the body received so far.
    [[nodiscard]] std::uint64_t end() const { return begin_ + bytes_.size(); }

    /// Returns whether all bytes received so far were sent.
    [[nodiscard]] bool is_all_sent() const { return next_ == end(); }

    /// Returns the number of buffered bytes.
    [[nodiscard]] std::size_t size() const { return bytes_.size(); }

private:
    std::uint64_t begin_;
    std::uint64_t next_;
    std::string bytes_;
};

} // namespace hemlocknotch
