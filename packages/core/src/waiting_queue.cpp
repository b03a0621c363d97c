#include "waiting_queue.hpp"

#include <algorithm>
#include <cassert>

namespace hemlocknotch {
namespace {

duration allowed_wait(urgency value)
{
    switch (value) {
    case urgency::prompt:
        return prompt_wait;
    case urgency::normal:
        return normal_wait;
    case urgency::slow:
        return slow_wait;
    }
    return normal_wait;
}

bool contains(std::span<const std::uint64_t> prefixes, std::uint64_t prefix)
{
    return prefix != 0 && std::find(prefixes.begin(), prefixes.end(), prefix) != prefixes.end();
}

} // namespace

instant service_target(const entry_request& value)
{
    return std::min(value.deadline, value.arrived + allowed_wait(value.profile->work_urgency));
}

void waiting_queue::add(entry_request& value)
{
    account_queue& queue = accounts_[value.client_account];
    queue.by_target.emplace(key{service_target(value), value.id}, &value);
    queue.by_arrival.emplace(value.arrived, value.id);
    record_change(value.client_account);
}

void waiting_queue::remove(entry_request& value)
{
    const auto it = accounts_.find(value.client_account);
    assert(it != accounts_.end());
    const auto removed = it->second.by_target.erase(key{service_target(value), value.id});
    assert(removed == 1);
    static_cast<void>(removed);
    it->second.by_arrival.erase(key{value.arrived, value.id});
    if (it->second.by_target.empty()) {
        accounts_.erase(it);
    }
    record_change(value.client_account);
}

void waiting_queue::record_change(account_key client_account)
{
    ++version_;
    std::uint64_t& last = changed_at_[client_account];
    changes_.erase(last);
    last = version_;
    changes_.emplace(version_, client_account);
}

std::vector<account_key> waiting_queue::changed_since(std::uint64_t version) const
{
    std::vector<account_key> changed;
    for (auto it = changes_.upper_bound(version); it != changes_.end(); ++it) {
        changed.push_back(it->second);
    }
    return changed;
}

entry_request* waiting_queue::choose(account_key client_account, std::span<const std::uint64_t> prefixes)
{
    const auto found = accounts_.find(client_account);
    if (found == accounts_.end()) {
        return nullptr;
    }
    const auto& order = found->second.by_target;
    auto chosen = order.begin();
    std::size_t n = 0;
    for (auto it = order.begin(); it != order.end() && n < reorder_window; ++it, ++n) {
        if (contains(prefixes, it->second->prefix)) {
            chosen = it;
            break;
        }
        if (it->second->times_passed_over >= max_times_passed_over) {
            break;
        }
    }
    for (auto it = order.begin(); it != chosen; ++it) {
        ++it->second->times_passed_over;
    }
    return chosen->second;
}

const entry_request* waiting_queue::first_of(account_key client_account) const
{
    const auto it = accounts_.find(client_account);
    return it == accounts_.end() ? nullptr : it->second.by_target.begin()->second;
}

std::size_t waiting_queue::count_of(account_key client_account) const
{
    const auto it = accounts_.find(client_account);
    return it == accounts_.end() ? 0 : it->second.by_target.size();
}

instant waiting_queue::oldest_arrival(account_key client_account) const
{
    const auto it = accounts_.find(client_account);
    assert(it != accounts_.end());
    return it->second.by_arrival.begin()->first;
}

std::vector<account_key> waiting_queue::backlogged() const
{
    std::vector<account_key> keys;
    keys.reserve(accounts_.size());
    for (const auto& [client_account, queue] : accounts_) {
        keys.push_back(client_account);
    }
    return keys;
}

} // namespace hemlocknotch
