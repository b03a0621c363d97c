#include "answer_progress.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

answer_progress::part_decision answer_progress::accept_part(std::uint64_t offset, std::string_view bytes,
                                                            std::uint64_t window)
{
    if (offset > received_) {
        return {{}, true};
    }
    const std::uint64_t known = received_ - offset;
    if (known >= bytes.size()) {
        return {};
    }
    std::string_view new_bytes = bytes.substr(known);
    assert(sent_ <= received_);
    const std::uint64_t ahead = received_ - sent_;
    const std::uint64_t allowed = window > ahead ? window - ahead : 0;
    const bool is_too_long = new_bytes.size() > allowed;
    new_bytes = new_bytes.substr(0, std::min<std::uint64_t>(new_bytes.size(), allowed));
    received_ += new_bytes.size();
    return {new_bytes, is_too_long};
}

void answer_progress::on_sent(std::uint64_t sent_bytes)
{
    sent_ = std::clamp(sent_bytes, sent_, received_);
}

std::uint64_t answer_progress::take_ack(std::uint64_t step)
{
    if (sent_ - acked_ < step) {
        return 0;
    }
    acked_ = sent_;
    return acked_;
}

} // namespace hemlocknotch
