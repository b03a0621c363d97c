#include "answer_buffer.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

std::optional<answer_part> answer_buffer::take_next(std::size_t max_bytes, std::size_t window)
{
    assert(begin_ <= next_ && next_ <= end());
    const std::uint64_t in_flight = next_ - begin_;
    if (is_all_sent() || in_flight >= window) {
        return std::nullopt;
    }
    const std::uint64_t allowed = std::min<std::uint64_t>(max_bytes, window - in_flight);
    const std::string_view rest = std::string_view{bytes_}.substr(in_flight);
    const answer_part part{next_, rest.substr(0, allowed)};
    next_ += part.bytes.size();
    return part;
}

void answer_buffer::acknowledge(std::uint64_t offset)
{
    if (offset <= begin_ || offset > next_) {
        return;
    }
    bytes_.erase(0, offset - begin_);
    begin_ = offset;
}

bool answer_buffer::resend_from(std::uint64_t offset)
{
    if (offset > end()) {
        return false;
    }
    next_ = std::max(offset, begin_);
    return true;
}

} // namespace hemlocknotch
