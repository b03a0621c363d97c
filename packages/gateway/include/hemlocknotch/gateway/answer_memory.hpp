#pragma once

#include <hemlocknotch/gateway/memory_budget.hpp>

#include <cstddef>

namespace hemlocknotch::gateway {

/// Bounds the memory of all answers that pass through a process, wherever they are held: until they can be
/// read, until they are complete, or until their callers take them. Used by one thread at a time.
class answer_memory {
public:
    static constexpr std::size_t default_max_bytes =
        memory_budget::of(memory_budget::default_instance_bytes).answer_bytes;

    /// Beyond `max_bytes` only holders of no more than an even part of it may grow. All holders together have
    /// at most twice as much.
    explicit answer_memory(std::size_t max_bytes = default_max_bytes) : max_bytes_{max_bytes} {}

    /// Replaces the `before` bytes of one holder by `after`. Returns whether it may hold that much; if not,
    /// the holder has to give its answer up. A holder may always shrink. Precondition: it had `before` bytes.
    [[nodiscard]] bool replace(std::size_t before, std::size_t after);

    [[nodiscard]] std::size_t total_bytes() const { return total_; }

private:
    std::size_t max_bytes_;
    std::size_t total_ = 0;
    /// Number of holders with any bytes.
    std::size_t holders_ = 0;
};

/// What one holder has in an `answer_memory`, which gets it back when the holder ends. Used by one thread at
/// a time.
class answer_holding {
public:
    /// `memory` must outlive the object.
    explicit answer_holding(answer_memory& memory) : memory_{memory} {}

    ~answer_holding() { static_cast<void>(set(0)); }

    answer_holding(const answer_holding&) = delete;
    answer_holding(answer_holding&&) = delete;
    answer_holding& operator=(const answer_holding&) = delete;
    answer_holding& operator=(answer_holding&&) = delete;

    /// The holder has `bytes` now. Returns whether it may hold that much.
    [[nodiscard]] bool set(std::size_t bytes);

private:
    answer_memory& memory_;
    std::size_t bytes_ = 0;
};

} // namespace hemlocknotch::gateway
