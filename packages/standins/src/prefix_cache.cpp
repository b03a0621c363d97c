#include <hemlocknotch/standins/prefix_cache.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>

namespace hemlocknotch::standins {

prefix_cache::prefix_cache(std::size_t capacity, std::uint64_t gap_every)
    : capacity_{capacity}, gap_every_{gap_every}
{
    assert(capacity > 0);
}

bool prefix_cache::use(std::uint64_t prefix, instant at)
{
    const auto found = std::find(cached_.begin(), cached_.end(), prefix);
    if (found != cached_.end()) {
        cached_.splice(cached_.begin(), cached_, found);
        return true;
    }
    cached_.push_front(prefix);
    record(true, prefix, at);
    if (cached_.size() > capacity_) {
        record(false, cached_.back(), at);
        cached_.pop_back();
    }
    return false;
}

void prefix_cache::clear(instant at)
{
    for (const std::uint64_t prefix : cached_) {
        record(false, prefix, at);
    }
    cached_.clear();
}

std::vector<cache_event> prefix_cache::events_after(std::uint64_t after, instant until) const
{
    std::vector<cache_event> found;
    std::copy_if(log_.begin(), log_.end(), std::back_inserter(found),
                 [&](const cache_event& it) { return it.number > after && it.at <= until; });
    return found;
}

void prefix_cache::record(bool is_added, std::uint64_t prefix, instant at)
{
    ++last_number_;
    if (gap_every_ != 0 && last_number_ % gap_every_ == 0) {
        return;
    }
    log_.push_back({last_number_, is_added, prefix, at});
}

} // namespace hemlocknotch::standins
