#include <hemlocknotch/standins/key_value_store.hpp>

#include <utility>

namespace hemlocknotch::standins {

const stored_value* key_value_store::find(std::string_view key) const
{
    const auto it = values_.find(key);
    return it == values_.end() ? nullptr : &it->second;
}

write_status key_value_store::compare_and_swap(std::string_view key, std::uint64_t expected,
                                               std::string value, std::uint64_t lease)
{
    if (lease != 0 && !leases_.contains(lease)) {
        return write_status::unknown_lease;
    }
    const stored_value* const current = find(key);
    if ((current == nullptr ? 0 : current->version) != expected) {
        return write_status::conflict;
    }
    values_[std::string{key}] = stored_value{std::move(value), ++last_version_, lease};
    return write_status::done;
}

write_status key_value_store::remove(std::string_view key, std::uint64_t expected)
{
    const auto it = values_.find(key);
    if (it == values_.end()) {
        return write_status::absent;
    }
    if (it->second.version != expected) {
        return write_status::conflict;
    }
    values_.erase(it);
    ++last_version_;
    return write_status::done;
}

std::uint64_t key_value_store::grant_lease(duration time_to_live, instant at)
{
    leases_[++last_lease_] = lease_state{time_to_live, at + time_to_live};
    return last_lease_;
}

bool key_value_store::keep_lease(std::uint64_t lease, instant at)
{
    const auto it = leases_.find(lease);
    if (it == leases_.end() || it->second.lapses <= at) {
        return false;
    }
    it->second.lapses = at + it->second.time_to_live;
    return true;
}

void key_value_store::expire(instant at)
{
    std::erase_if(leases_, [&](const auto& item) { return item.second.lapses <= at; });
    std::erase_if(values_, [&](const auto& item) {
        const std::uint64_t lease = item.second.lease;
        return lease != 0 && !leases_.contains(lease);
    });
}

} // namespace hemlocknotch::standins
