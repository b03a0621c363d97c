#include "demand_reporter.hpp"

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

bool is_change_told(std::uint32_t believed, std::size_t count)
{
    const int before = level_of(believed);
    const int level = level_of(count);
    return (before == 0) != (level == 0) || level > before || level + 1 < before;
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

/// Accounts of which something new may have to be told.
std::vector<account_key> accounts_of(const waiting_queue& queue, const reported_demand& told)
{
    std::vector<account_key> accounts = queue.changed_since(told.queue_version);
    accounts.insert(accounts.end(), told.doubted.begin(), told.doubted.end());
    std::sort(accounts.begin(), accounts.end());
    accounts.erase(std::unique(accounts.begin(), accounts.end()), accounts.end());
    return accounts;
}

void forget_told(reported_demand& told)
{
    told.accounts.clear();
    told.doubted.clear();
    told.queue_version = 0;
}

} // namespace

bool is_demand_due(const waiting_queue& queue, const reported_demand& told)
{
    return told.is_snapshot_due || told.queue_version != queue.version() || !told.doubted.empty();
}

bool is_demand_urgent(const waiting_queue& queue, const reported_demand& told)
{
    const std::vector<account_key> accounts = accounts_of(queue, told);
    return std::any_of(accounts.begin(), accounts.end(), [&](account_key it) {
        const bool is_believed = told.accounts.contains(it) && !told.doubted.contains(it);
        return !is_believed && queue.count_of(it) > 0;
    });
}

std::optional<demand_message> next_demand(const waiting_queue& queue, reported_demand& told, instant now)
{
    demand_message result;
    result.is_snapshot = std::exchange(told.is_snapshot_due, false);
    if (result.is_snapshot) {
        forget_told(told);
    }
    for (const account_key it : accounts_of(queue, told)) {
        const auto count = static_cast<std::uint32_t>(queue.count_of(it));
        const auto believed = told.accounts.find(it);
        const bool is_doubted = told.doubted.erase(it) > 0;
        if (!is_doubted && !is_change_told(believed == told.accounts.end() ? 0 : believed->second, count)) {
            continue;
        }
        if (count == 0) {
            told.accounts.erase(it);
        }
        else {
            told.accounts.insert_or_assign(it, count);
        }
        result.items.push_back(item_of(queue, it, now));
    }
    told.queue_version = queue.version();
    if (result.items.empty() && !result.is_snapshot) {
        return std::nullopt;
    }
    result.sequence = ++told.sequence;
    return result;
}

std::optional<demand_message> take_back_demand(reported_demand& told)
{
    if (told.accounts.empty() && told.doubted.empty()) {
        return std::nullopt;
    }
    forget_told(told);
    told.is_snapshot_due = true;
    demand_message result;
    result.is_snapshot = true;
    result.sequence = ++told.sequence;
    return result;
}

void on_grant_used(reported_demand& told, account_key client_account)
{
    const auto it = told.accounts.find(client_account);
    if (it == told.accounts.end()) {
        return;
    }
    if (it->second > 1) {
        --it->second;
    }
    else {
        told.doubted.insert(client_account);
    }
}

void on_grant_declined(reported_demand& told, account_key client_account)
{
    told.doubted.insert(client_account);
}

} // namespace hemlocknotch
