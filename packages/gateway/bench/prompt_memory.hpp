#pragma once

#include <hemlocknotch/gateway/request_fields.hpp>

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace hemlocknotch::gateway::model {

/// The memory of one engine in tokens: parts of prompts, those in use pinned and the others leaving in order
/// of their last use, and what running requests have generated. One thread.
class prompt_memory {
public:
    explicit prompt_memory(double capacity) : capacity_{capacity} {}

    /// Returns how many tokens at the beginning of `prompt` are kept.
    [[nodiscard]] double cached_tokens(std::span<const prompt_part> prompt) const;

    /// Pins all parts of `prompt`, making room for those that are not kept. Returns false, and changes
    /// nothing, where there is not enough room besides what is pinned.
    bool pin(std::span<const prompt_part> prompt);

    /// Takes back a `pin`. The parts stay until others need their room.
    void unpin(std::span<const prompt_part> prompt);

    /// Takes room for `tokens` that were generated. Returns false where there is none.
    bool grow(double tokens);

    /// Gives back what `grow` took.
    void shrink(double tokens) { generated_ -= tokens; }

    [[nodiscard]] double capacity() const { return capacity_; }

private:
    struct kept_part {
        double tokens = 0.0;
        unsigned users = 0;
        /// Place among the parts that nobody uses; meaningless while it is used.
        std::list<std::uint64_t>::iterator place;
    };

    bool free_space(double tokens);

    double capacity_;
    double generated_ = 0.0;
    double parts_ = 0.0;
    double pinned_ = 0.0;
    std::unordered_map<std::uint64_t, kept_part> kept_;
    /// Parts that nobody uses, the one used longest ago first.
    std::list<std::uint64_t> unused_;
};

} // namespace hemlocknotch::gateway::model
