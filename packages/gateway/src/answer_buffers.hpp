#pragma once

#include "exchange.hpp"

#include <cstddef>

namespace hemlocknotch::gateway {

/// Bounds the memory of answers that are held until they, or an event of theirs, are complete. Used by one
/// thread at a time.
class answer_buffers {
public:
    /// Maximum number of bytes held of one answer.
    static constexpr std::size_t max_answer_bytes = std::size_t{8} << 20U;
    /// Number of bytes held of all answers beyond which those that hold more than an even part of it may not
    /// grow. All answers together hold at most twice as much.
    static constexpr std::size_t max_total_bytes = std::size_t{32} << 20U;

    /// Takes note of what `it` holds now. Returns false where that is too much, so that the answer has to be
    /// given up.
    [[nodiscard]] bool note_held(exchange& it);

    /// Takes note that `it` holds nothing any more.
    void release(exchange& it);

    [[nodiscard]] std::size_t total_bytes() const { return total_; }

private:
    void set_held(exchange& it, std::size_t bytes);

    std::size_t total_ = 0;
    /// Number of answers that hold anything.
    std::size_t holders_ = 0;
};

} // namespace hemlocknotch::gateway
