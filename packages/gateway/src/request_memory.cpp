#include <hemlocknotch/gateway/request_memory.hpp>

namespace hemlocknotch::gateway {

void request_memory::remove(request_holder& it)
{
    const auto known = holdings_.find(&it);
    if (known == holdings_.end()) {
        return;
    }
    const auto bytes = known->second.bytes;
    bytes_ -= bytes;
    bytes_of_large_ -= bytes > large_bytes ? bytes : 0;
    yielding_.erase({bytes, &it});
    holdings_.erase(known);
}

void request_memory::set(request_holder& it, std::size_t bytes, bool may_give_way)
{
    remove(it);
    if (bytes == 0) {
        return;
    }
    holdings_.emplace(&it, holding{bytes});
    bytes_ += bytes;
    bytes_of_large_ += bytes > large_bytes ? bytes : 0;
    if (may_give_way) {
        yielding_.emplace(bytes, &it);
    }
}

request_holder* request_memory::to_give_way() const
{
    const auto is_full_of_large = bytes_of_large_ > max_bytes_ / 4 * 3;
    if (yielding_.empty() || (bytes_ <= max_bytes_ && !is_full_of_large)) {
        return nullptr;
    }
    const auto& [bytes, holder] = *yielding_.rbegin();
    return bytes > large_bytes || bytes_ > max_bytes_ ? holder : nullptr;
}

} // namespace hemlocknotch::gateway
