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
    std::string_view fresh = bytes.substr(known);
    assert(taken_ <= received_);
    const std::uint64_t ahead = received_ - taken_;
    const std::uint64_t allowed = window > ahead ? window - ahead : 0;
    const bool is_too_long = fresh.size() > allowed;
    fresh = fresh.substr(0, std::min<std::uint64_t>(fresh.size(), allowed));
    received_ += fresh.size();
    return {fresh, is_too_long};
}

void answer_progress::on_taken(std::uint64_t sent_bytes)
{
    taken_ = std::clamp(sent_bytes, taken_, received_);
}

std::uint64_t answer_progress::take_ack(std::uint64_t step)
{
    if (taken_ - acked_ < step) {
        return 0;
    }
    acked_ = taken_;
    return acked_;
}

} // namespace hemlocknotch
