#include "answer_buffers.hpp"

#include <utility>

namespace hemlocknotch::gateway {

bool answer_buffers::note_held(exchange& it)
{
    // A short text is part of the string object.
    const auto body_bytes = it.body.empty() ? 0 : it.body.capacity();
    const auto bytes = body_bytes + it.events.held_bytes();
    const auto may_hold = memory_.replace(std::exchange(it.held_bytes, bytes), bytes);
    return may_hold && it.body.size() <= max_answer_bytes && !it.events.is_event_too_large();
}

void answer_buffers::release(exchange& it)
{
    static_cast<void>(memory_.replace(std::exchange(it.held_bytes, 0), 0));
}

} // namespace hemlocknotch::gateway
