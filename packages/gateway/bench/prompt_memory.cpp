#include "prompt_memory.hpp"

#include <cassert>

namespace hemlocknotch::gateway::model {

double prompt_memory::cached_tokens(std::span<const prompt_part> prompt) const
{
    double out = 0.0;
    for (const auto& part : prompt) {
        if (!kept_.contains(part.id)) {
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
        const auto it = kept_.find(part.id);
        if (it == kept_.end() || it->second.users == 0) {
            newly_pinned += static_cast<double>(part.tokens);
        }
    }
    if (pinned_ + newly_pinned + generated_ > capacity_) {
        return false;
    }
    // Those that are kept are pinned first, so that making room for the rest does not drop them.
    for (const auto& part : prompt) {
        const auto it = kept_.find(part.id);
        if (it != kept_.end() && it->second.users++ == 0) {
            unused_.erase(it->second.place);
            pinned_ += it->second.tokens;
        }
    }
    for (const auto& part : prompt) {
        if (kept_.contains(part.id)) {
            continue;
        }
        const auto tokens = static_cast<double>(part.tokens);
        const auto has_room = free_space(tokens);
        assert(has_room);
        kept_.emplace(part.id, kept_part{tokens, 1, {}});
        parts_ += tokens;
        pinned_ += tokens;
    }
    return true;
}

void prompt_memory::unpin(std::span<const prompt_part> prompt)
{
    for (const auto& part : prompt) {
        auto& it = kept_.at(part.id);
        assert(it.users > 0);
        if (--it.users == 0) {
            pinned_ -= it.tokens;
            it.place = unused_.insert(unused_.end(), part.id);
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
        const auto it = kept_.find(unused_.front());
        assert(it != kept_.end());
        parts_ -= it->second.tokens;
        kept_.erase(it);
        unused_.pop_front();
    }
    return parts_ + generated_ + tokens <= capacity_;
}

} // namespace hemlocknotch::gateway::model
