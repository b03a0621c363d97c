#include "dispatch_numbers.hpp"

#include <cassert>

namespace hemlocknotch::detail {

void dispatch_numbers::add(const dispatch_key& key)
{
    latest_[key] = first_ + keys_.size();
    keys_.push_back(key);
    if (keys_.size() <= retained_window) {
        return;
    }
    const auto oldest = latest_.find(keys_.front());
    if (oldest != latest_.end() && oldest->second == first_) {
        latest_.erase(oldest);
    }
    keys_.pop_front();
    ++first_;
    assert(latest_.size() <= keys_.size());
}

std::optional<std::uint64_t> dispatch_numbers::number_of(const dispatch_key& key) const
{
    const auto it = latest_.find(key);
    if (it == latest_.end() || it->second + use_window < first_ + keys_.size()) {
        return std::nullopt;
    }
    return it->second;
}

std::optional<dispatch_key> dispatch_numbers::find(std::uint64_t number) const
{
    if (number < first_ || number - first_ >= keys_.size()) {
        return std::nullopt;
    }
    return keys_[number - first_];
}

} // namespace hemlocknotch::detail
