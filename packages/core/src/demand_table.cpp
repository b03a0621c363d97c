#include "demand_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch {

void demand_table::on_demand(link_id link, const demand_message& value, instant now)
{
    std::uint64_t& last = sequences_[link];
    if (value.sequence <= last) {
        return;
    }
    last = value.sequence;
    if (value.is_snapshot) {
        const auto reported_links = waiting_links_;
        for (const auto& [client_account, reported_link] : reported_links) {
            if (reported_link == link) {
                clear_waiting(link, client_account);
            }
        }
    }
    for (const demand_item& item : value.items) {
        set_waiting(link, item, now);
    }
}

void demand_table::remove_link(link_id link)
{
    sequences_.erase(link);
    for (auto it = accounts_.begin(); it != accounts_.end();) {
        it->second.erase(link);
        waiting_links_.erase({it->first, link});
        it = it->second.empty() ? accounts_.erase(it) : std::next(it);
    }
}

void demand_table::on_granted(link_id link, account_key client_account)
{
    ++accounts_[client_account][link].granted;
}

void demand_table::on_used(link_id link, account_key client_account, instant now)
{
    entry_demand* const it = find(link, client_account);
    if (it == nullptr) {
        return;
    }
    assert(it->granted > 0);
    --it->granted;
    if (it->waiting > 1) {
        --it->waiting;
    }
    else {
        it->not_before = now + retry_delay;
    }
    erase_if_empty(link, client_account);
}

void demand_table::on_unused(link_id link, account_key client_account, instant now)
{
    entry_demand* const it = find(link, client_account);
    if (it == nullptr) {
        return;
    }
    assert(it->granted > 0);
    --it->granted;
    it->not_before = now + retry_delay;
    erase_if_empty(link, client_account);
}

bool demand_table::is_backlogged(account_key client_account) const
{
    const auto it = waiting_links_.lower_bound({client_account, 0});
    return it != waiting_links_.end() && it->first == client_account;
}

std::vector<account_key> demand_table::backlogged() const
{
    std::vector<account_key> found;
    for (const auto& [client_account, link] : waiting_links_) {
        if (found.empty() || found.back() != client_account) {
            found.push_back(client_account);
        }
    }
    return found;
}

std::vector<account_demand> demand_table::grantable(instant now) const
{
    std::vector<account_demand> found;
    for (const auto& [client_account, links] : accounts_) {
        std::optional<account_demand> item;
        for (const auto& [link, it] : links) {
            if (it.is_grantable(now) && (!item || it.oldest_since < item->oldest_since)) {
                item = account_demand{client_account, it.estimated_cost, it.oldest_since};
            }
        }
        if (item) {
            found.push_back(*item);
        }
    }
    return found;
}

std::optional<link_id> demand_table::oldest_link(account_key client_account, instant now) const
{
    const auto links = accounts_.find(client_account);
    if (links == accounts_.end()) {
        return std::nullopt;
    }
    std::optional<link_id> found;
    instant oldest;
    for (const auto& [link, it] : links->second) {
        if (it.is_grantable(now) && (!found || it.oldest_since < oldest)) {
            found = link;
            oldest = it.oldest_since;
        }
    }
    return found;
}

double demand_table::estimated_cost(link_id link, account_key client_account) const
{
    const auto links = accounts_.find(client_account);
    if (links == accounts_.end()) {
        return 1.0;
    }
    const auto it = links->second.find(link);
    return it == links->second.end() ? 1.0 : it->second.estimated_cost;
}

std::optional<instant> demand_table::next_retry(instant now) const
{
    std::optional<instant> earliest;
    for (const auto& [client_account, link] : waiting_links_) {
        const entry_demand& it = accounts_.at(client_account).at(link);
        if (it.waiting > it.granted && it.not_before > now) {
            earliest = earliest ? std::min(*earliest, it.not_before) : it.not_before;
        }
    }
    return earliest;
}

demand_table::entry_demand* demand_table::find(link_id link, account_key client_account)
{
    const auto links = accounts_.find(client_account);
    if (links == accounts_.end()) {
        return nullptr;
    }
    const auto it = links->second.find(link);
    return it == links->second.end() ? nullptr : &it->second;
}

void demand_table::set_waiting(link_id link, const demand_item& item, instant now)
{
    if (item.waiting == 0) {
        clear_waiting(link, item.client_account);
        return;
    }
    entry_demand& it = accounts_[item.client_account][link];
    it.waiting = item.waiting;
    it.estimated_cost = item.estimated_cost;
    it.oldest_since = now - item.oldest_request_age;
    it.not_before = now;
    waiting_links_.emplace(item.client_account, link);
}

void demand_table::clear_waiting(link_id link, account_key client_account)
{
    waiting_links_.erase({client_account, link});
    if (entry_demand* const it = find(link, client_account)) {
        it->waiting = 0;
        erase_if_empty(link, client_account);
    }
}

void demand_table::erase_if_empty(link_id link, account_key client_account)
{
    const auto links = accounts_.find(client_account);
    assert(links != accounts_.end());
    const auto it = links->second.find(link);
    assert(it != links->second.end());
    if (it->second.waiting > 0 || it->second.granted > 0) {
        return;
    }
    links->second.erase(it);
    if (links->second.empty()) {
        accounts_.erase(links);
    }
}

} // namespace hemlocknotch
