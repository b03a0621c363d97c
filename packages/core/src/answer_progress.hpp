#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace hemlocknotch {

/// Where the answer of one request stands on its way from the agent to the caller. Decides which bytes of a
/// part are new, so that doubled, overlapping and missing parts never change what the caller receives.
class answer_progress {
public:
    /// What to do with a part.
    struct part_decision {
        /// New bytes to pass on; may be empty.
        std::string_view fresh;
        /// Whether bytes between those received and this part are missing.
        bool is_gap = false;
    };

    /// Returns which bytes of a part at `offset` are new, and counts them as received. At most `window` bytes
    /// may be received and not yet taken by the caller; bytes beyond are treated as missing.
    part_decision accept_part(std::uint64_t offset, std::string_view bytes, std::uint64_t window);

    /// Counts the bytes that the caller has taken. Lower values than before are ignored.
    void on_taken(std::uint64_t sent_bytes);

    /// Returns the offset to acknowledge if at least `step` bytes were taken since the last time, else 0.
    std::uint64_t take_ack(std::uint64_t step);

    /// Returns whether as many bytes as allowed wait for the caller.
    [[nodiscard]] bool is_window_full(std::uint64_t window) const { return received_ - taken_ >= window; }

    /// Takes in that bytes have been left out because the window was full.
    void set_cut() { is_cut_ = true; }

    /// Returns whether bytes have been left out since the last call.
    bool take_cut() { return std::exchange(is_cut_, false); }

    /// Takes in that status and headers have gone to the caller.
    void set_head_passed(std::uint32_t status)
    {
        is_head_passed_ = true;
        status_ = status;
    }

    /// Returns whether status and headers have gone to the caller.
    [[nodiscard]] bool is_head_passed() const { return is_head_passed_; }

    /// Returns the status that has gone to the caller, 0 before.
    [[nodiscard]] std::uint32_t status() const { return status_; }

    /// Returns how many bytes of the body have gone to the caller's connection.
    [[nodiscard]] std::uint64_t received() const { return received_; }

    /// Returns how many of them the connection has taken.
    [[nodiscard]] std::uint64_t taken() const { return taken_; }

private:
    bool is_head_passed_ = false;
    bool is_cut_ = false;
    std::uint32_t status_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t taken_ = 0;
    std::uint64_t acked_ = 0;
};

} // namespace hemlocknotch
