#include "request_table.hpp"

#include <cassert>

namespace hemlocknotch {

entry_request& request_table::add(std::unique_ptr<entry_request> value)
{
    assert(value != nullptr);
    entry_request& it = *value;
    assert(!requests_.contains(it.id) && !exchanges_.contains(it.exchange));
    exchanges_.emplace(it.exchange, it.id);
    held_bytes_ += it.body.size();
    timers_.emplace(it.timer_at, it.id);
    requests_.emplace(it.id, std::move(value));
    add_to_state_index(it);
    return it;
}

entry_request* request_table::find(const request_id& id)
{
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : it->second.get();
}

entry_request* request_table::find_exchange(exchange_id exchange)
{
    const auto it = exchanges_.find(exchange);
    return it == exchanges_.end() ? nullptr : find(it->second);
}

void request_table::erase(entry_request& value)
{
    remove_from_state_index(value);
    release_body(value);
    detach_caller(value);
    timers_.erase({value.timer_at, value.id});
    const request_id id = value.id;
    requests_.erase(id);
}

void request_table::set_state(entry_request& value, request_state state)
{
    remove_from_state_index(value);
    value.state = state;
    add_to_state_index(value);
}

void request_table::set_timer(entry_request& value, instant at)
{
    timers_.erase({value.timer_at, value.id});
    value.timer_at = at;
    timers_.emplace(at, value.id);
}

entry_request* request_table::first_due(instant now)
{
    if (timers_.empty() || timers_.begin()->first > now) {
        return nullptr;
    }
    return find(timers_.begin()->second);
}

std::optional<instant> request_table::next_timer() const
{
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first;
}

void request_table::release_body(entry_request& value)
{
    assert(held_bytes_ >= value.body.size());
    held_bytes_ -= value.body.size();
    value.body = std::string{};
}

void request_table::detach_caller(entry_request& value)
{
    exchanges_.erase(value.exchange);
    value.exchange = 0;
}

std::vector<request_id> request_table::outstanding_at(std::string_view name) const
{
    const auto it = outstanding_.find(name);
    if (it == outstanding_.end()) {
        return {};
    }
    return {it->second.begin(), it->second.end()};
}

bool request_table::has_outstanding_at(std::string_view name) const
{
    return outstanding_.contains(name);
}

std::vector<request_id> request_table::ids() const
{
    std::vector<request_id> all;
    all.reserve(timers_.size());
    for (const auto& [at, id] : timers_) {
        all.push_back(id);
    }
    return all;
}

std::size_t request_table::waiting_of(account_key client_account) const
{
    const auto it = waiting_by_account_.find(client_account);
    return it == waiting_by_account_.end() ? 0 : it->second;
}

void request_table::add_to_state_index(entry_request& value)
{
    if (value.is_outstanding()) {
        outstanding_[value.agent.name].insert(value.id);
        return;
    }
    ++waiting_;
    ++waiting_by_account_[value.client_account];
}

void request_table::remove_from_state_index(entry_request& value)
{
    if (value.is_outstanding()) {
        const auto it = outstanding_.find(value.agent.name);
        assert(it != outstanding_.end());
        it->second.erase(value.id);
        if (it->second.empty()) {
            outstanding_.erase(it);
        }
        return;
    }
    const auto it = waiting_by_account_.find(value.client_account);
    assert(waiting_ > 0 && it != waiting_by_account_.end());
    --waiting_;
    if (--it->second == 0) {
        waiting_by_account_.erase(it);
    }
}

} // namespace hemlocknotch
