#include "tombstone_set.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

tombstone_set::tombstone_set(std::size_t max_count, duration kept) : max_count_{max_count}, kept_{kept}
{
    assert(max_count_ >= 1);
    assert(kept_ > duration::zero());
}

void tombstone_set::add(const request_id& id, tombstone_kind kind, std::uint32_t attempt, instant now)
{
    record& it = records_[id];
    if (attempt < it.value.attempt) {
        return;
    }
    it.value = tombstone{kind, attempt};
    it.age = ++last_age_;
    order_.push_back({id, it.age, now + kept_});
    while (records_.size() > max_count_ || order_.size() > 2 * max_count_) {
        drop_oldest();
    }
}

std::optional<tombstone> tombstone_set::find(const request_id& id) const
{
    const auto it = records_.find(id);
    if (it == records_.end()) {
        return std::nullopt;
    }
    return it->second.value;
}

bool tombstone_set::is_doubtful(const request_id& id) const
{
    const auto floor = floors_.find(id.origin());
    return floor != floors_.end() && id.sequence() <= floor->second && !records_.contains(id);
}

void tombstone_set::expire(instant now)
{
    while (!order_.empty() && order_.front().expires <= now) {
        drop_oldest();
    }
}

void tombstone_set::keep_floors_of(const std::set<std::uint64_t>& connected)
{
    std::erase_if(floors_, [&](const auto& it) { return !connected.contains(it.first); });
}

void tombstone_set::drop_oldest()
{
    assert(!order_.empty());
    const queued oldest = order_.front();
    order_.pop_front();
    const auto it = records_.find(oldest.id);
    if (it == records_.end() || it->second.age != oldest.age) {
        return;
    }
    records_.erase(it);
    std::uint64_t& floor = floors_[oldest.id.origin()];
    floor = std::max(floor, oldest.id.sequence());
}

} // namespace hemlocknotch
