#include "prompt_memory.hpp"

#include <cassert>

namespace hemlocknotch::gateway::model {

double prompt_memory::cached_tokens(std::span<const prompt_part> prompt) const
{
    double out = 0.0;
    for (const auto& part : prompt) {
        if (!cached_.contains(part.id)) {
            break;
        }
        out += static_cast<double>(part.tokens);
    }
    return out;
}

bool prompt_memory::pin(std::span<const prompt_part> prompt)
{
    double newly_pinned = 0.0;
    for (const auto& part : prompt) {
        const auto it = cached_.find(part.id);
        if (it == cached_.end() || it->second.users == 0) {
            newly_pinned += static_cast<double>(part.tokens);
        }
    }
    if (pinned_ + newly_pinned + generated_ > capacity_) {
        return false;
    }
    // Cached parts are pinned first, so that `free_space` for the rest does not evict them.
    for (const auto& part : prompt) {
        const auto it = cached_.find(part.id);
        if (it != cached_.end() && it->second.users++ == 0) {
            unused_.erase(it->second.position);
            pinned_ += it->second.tokens;
        }
    }
    for (const auto& part : prompt) {
        if (cached_.contains(part.id)) {
            continue;
        }
        const auto tokens = static_cast<double>(part.tokens);
        const auto has_space = free_space(tokens);
        assert(has_space);
        cached_.emplace(part.id, cached_part{tokens, 1, {}});
        parts_ += tokens;
        pinned_ += tokens;
    }
    return true;
}

void prompt_memory::unpin(std::span<const prompt_part> prompt)
{
    for (const auto& part : prompt) {
        auto& it = cached_.at(part.id);
        assert(it.users > 0);
        if (--it.users == 0) {
            pinned_ -= it.tokens;
            it.position = unused_.insert(unused_.end(), part.id);
        }
    }
}

bool prompt_memory::grow(double tokens)
{
    if (!free_space(tokens)) {
        return false;
    }
    generated_ += tokens;
    return true;
}

bool prompt_memory::free_space(double tokens)
{
    while (parts_ + generated_ + tokens > capacity_ && !unused_.empty()) {
        const auto it = cached_.find(unused_.front());
        assert(it != cached_.end());
        parts_ -= it->second.tokens;
        cached_.erase(it);
        unused_.pop_front();
    }
    return parts_ + generated_ + tokens <= capacity_;
}

} // namespace hemlocknotch::gateway::model
