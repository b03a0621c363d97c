#include <hemlocknotch/gateway/request_memory.hpp>

namespace hemlocknotch::gateway {

void request_memory::set(request_holder& it, std::size_t bytes, bool may_give_way)
{
    const auto known = holdings_.find(&it);
    if (known != holdings_.end()) {
        bytes_ -= known->second.bytes;
        if (bytes == 0) {
            holdings_.erase(known);
            return;
        }
        known->second = {bytes, may_give_way};
    }
    else if (bytes > 0) {
        holdings_.emplace(&it, holding{bytes, may_give_way});
    }
    bytes_ += bytes;
}

request_holder* request_memory::to_give_way() const
{
    if (bytes_ <= max_bytes_) {
        return nullptr;
    }
    request_holder* out = nullptr;
    std::size_t most = 0;
    for (const auto& [it, held] : holdings_) {
        if (held.may_give_way && held.bytes > most) {
            out = it;
            most = held.bytes;
        }
    }
    return out;
}

} // namespace hemlocknotch::gateway
