#include "answer_buffers.hpp"

#include <cassert>

namespace hemlocknotch::gateway {

bool answer_buffers::note_held(exchange& it)
{
    const auto bytes = it.body.size() + it.events.remainder_size();
    set_held(it, bytes);
    if (bytes > max_answer_bytes || it.events.is_event_too_large()) {
        return false;
    }
    return total_ <= max_total_bytes || bytes <= max_total_bytes / holders_;
}

void answer_buffers::release(exchange& it)
{
    set_held(it, 0);
}

void answer_buffers::set_held(exchange& it, std::size_t bytes)
{
    holders_ += bytes > 0 ? 1U : 0U;
    holders_ -= it.held_bytes > 0 ? 1U : 0U;
    total_ += bytes;
    assert(total_ >= it.held_bytes);
    total_ -= it.held_bytes;
    it.held_bytes = bytes;
}

} // namespace hemlocknotch::gateway
