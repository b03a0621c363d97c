#include "tombstone_set.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {

tombstone_set::tombstone_set(std::size_t max_count, duration retention)
    : max_count_{max_count}, retention_{retention}
{
    assert(max_count_ >= 1);
    assert(retention_ > duration::zero());
}

void tombstone_set::add(const request_id& id, tombstone_kind kind, std::uint32_t attempt, instant now)
{
    record& it = records_[id];
    if (attempt < it.value.attempt) {
        return;
    }
    it.value = tombstone{kind, attempt};
    it.version = ++last_version_;
    expiry_queue_.push_back({id, it.version, now + retention_});
    while (records_.size() > max_count_ || expiry_queue_.size() > 2 * max_count_) {
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

bool tombstone_set::may_have_dropped(const request_id& id) const
{
    const auto floor = highest_dropped_.find(id.origin());
    return floor != highest_dropped_.end() && id.sequence() <= floor->second && !records_.contains(id);
}

void tombstone_set::expire(instant now)
{
    while (!expiry_queue_.empty() && expiry_queue_.front().expires <= now) {
        drop_oldest();
    }
}

void tombstone_set::retain_entries(const std::set<std::uint64_t>& connected)
{
    std::erase_if(highest_dropped_, [&](const auto& it) { return !connected.contains(it.first); });
}

void tombstone_set::drop_oldest()
{
    assert(!expiry_queue_.empty());
    const expiry_item oldest = expiry_queue_.front();
    expiry_queue_.pop_front();
    const auto it = records_.find(oldest.id);
    if (it == records_.end() || it->second.version != oldest.version) {
        return;
    }
    records_.erase(it);
    std::uint64_t& floor = highest_dropped_[oldest.id.origin()];
    floor = std::max(floor, oldest.id.sequence());
}

} // namespace hemlocknotch
