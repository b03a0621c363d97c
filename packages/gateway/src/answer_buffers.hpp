#pragma once

#include <hemlocknotch/gateway/answer_memory.hpp>

#include "exchange.hpp"

#include <cstddef>

namespace hemlocknotch::gateway {

/// Bounds the memory of answers that are held until they, or an event of theirs, are complete. Used by one
/// thread at a time.
class answer_buffers {
public:
    /// Maximum number of bytes held of one answer.
    static constexpr std::size_t max_answer_bytes = std::size_t{8} << 20U;

    /// `memory` must outlive the object.
    explicit answer_buffers(answer_memory& memory) : memory_{memory} {}

    /// Takes note of what `it` holds now. Returns false where that is too much, so that the answer has to be
    /// given up.
    [[nodiscard]] bool note_held(exchange& it);

    /// Takes note that `it` holds nothing any more.
    void release(exchange& it);

private:
    answer_memory& memory_;
};

} // namespace hemlocknotch::gateway
