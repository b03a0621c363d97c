#include "demand_teller.hpp"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <utility>

namespace hemlocknotch {
namespace {

/// Returns the number of binary digits of a count.
int level_of(std::size_t count)
{
    return static_cast<int>(std::bit_width(count));
}

bool is_change_told(const believed_count& believed, std::size_t count)
{
    const int before = level_of(believed.waiting);
    const int level = level_of(count);
    return believed.is_doubted || (before == 0) != (level == 0) || level > before || level + 1 < before;
}

demand_item item_of(const waiting_queue& queue, account_key client_account, instant now)
{
    const entry_request* const first = queue.first_of(client_account);
    if (first == nullptr) {
        return demand_item{.client_account = client_account, .waiting = 0};
    }
    return demand_item{.client_account = client_account,
                       .waiting = static_cast<std::uint32_t>(queue.count_of(client_account)),
                       .oldest_age = now - queue.oldest_arrival(client_account),
                       .estimated_cost = first->estimated_cost};
}

/// Accounts that wait or were told to.
std::vector<account_key> accounts_of(const waiting_queue& queue, const told_demand& told)
{
    std::vector<account_key> accounts = queue.backlogged();
    for (const auto& [client_account, believed] : told.accounts) {
        accounts.push_back(client_account);
    }
    std::sort(accounts.begin(), accounts.end());
    accounts.erase(std::unique(accounts.begin(), accounts.end()), accounts.end());
    return accounts;
}

} // namespace

std::optional<demand_message> next_demand(const waiting_queue& queue, told_demand& told, instant now)
{
    told.queue_version = queue.version();
    demand_message result;
    result.is_whole = std::exchange(told.is_whole_due, false);
    if (result.is_whole) {
        told.accounts.clear();
    }
    for (const account_key it : accounts_of(queue, told)) {
        const auto count = static_cast<std::uint32_t>(queue.count_of(it));
        const auto before = told.accounts.find(it);
        if (!is_change_told(before == told.accounts.end() ? believed_count{} : before->second, count)) {
            continue;
        }
        told.accounts.insert_or_assign(it, believed_count{.waiting = count});
        if (count == 0) {
            told.accounts.erase(it);
        }
        result.items.push_back(item_of(queue, it, now));
    }
    if (result.items.empty() && !result.is_whole) {
        return std::nullopt;
    }
    result.sequence = ++told.sequence;
    return result;
}

void on_grant_used(told_demand& told, account_key client_account)
{
    const auto it = told.accounts.find(client_account);
    if (it == told.accounts.end()) {
        return;
    }
    if (it->second.waiting > 1) {
        --it->second.waiting;
    }
    else {
        it->second.is_doubted = true;
    }
}

void on_grant_declined(told_demand& told, account_key client_account)
{
    told.accounts[client_account].is_doubted = true;
    told.queue_version = 0;
}

} // namespace hemlocknotch
