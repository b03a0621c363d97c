#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace hemlocknotch {

/// Tracks how much of a request's answer has been received from the agent and sent to the caller. Decides
/// which bytes of a part are new, so that duplicate, overlapping and missing parts never change what the
/// caller receives.
class answer_progress {
public:
    /// What to do with a part.
    struct part_decision {
        /// New bytes to send to the caller; may be empty.
        std::string_view new_bytes;
        /// Whether bytes between those received and this part are missing.
        bool is_gap = false;
    };

    /// Returns which bytes of a part at `offset` are new, and counts them as received. At most `window` bytes
    /// may be received and not yet sent to the caller; bytes beyond that are treated as missing.
    part_decision accept_part(std::uint64_t offset, std::string_view bytes, std::uint64_t window);

    /// Sets the number of bytes sent to the caller. Values lower than the current one are ignored.
    void on_sent(std::uint64_t sent_bytes);

    /// Returns the offset to acknowledge if at least `step` bytes were sent since the last acknowledgement,
    /// else 0.
    std::uint64_t take_ack(std::uint64_t step);

    /// Returns whether `window` bytes or more are received and not yet sent to the caller.
    [[nodiscard]] bool is_window_full(std::uint64_t window) const { return received_ - sent_ >= window; }

    /// Records that bytes have been dropped because the window was full.
    void set_bytes_dropped() { has_dropped_bytes_ = true; }

    /// Returns whether bytes have been dropped since the last call.
    bool take_bytes_dropped() { return std::exchange(has_dropped_bytes_, false); }

    /// Records that status and headers have been sent to the caller.
    void set_head_sent(std::uint32_t status)
    {
        is_head_sent_ = true;
        status_ = status;
    }

    /// Returns whether status and headers have been sent to the caller.
    [[nodiscard]] bool is_head_sent() const { return is_head_sent_; }

    /// Returns the status that was sent to the caller, or 0 if none was.
    [[nodiscard]] std::uint32_t status() const { return status_; }

    /// Returns how many bytes of the body have been received and handed to the caller's connection.
    [[nodiscard]] std::uint64_t received() const { return received_; }

    /// Returns how many of them have been written to the connection.
    [[nodiscard]] std::uint64_t sent() const { return sent_; }

private:
    bool is_head_sent_ = false;
    bool has_dropped_bytes_ = false;
    std::uint32_t status_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t acked_ = 0;
};

} // namespace hemlocknotch
