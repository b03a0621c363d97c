#include "demand_reporter.hpp"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <utility>

namespace hemlocknotch {
namespace {

/// Returns the number of binary digits of `count`; counts are compared by it, so that small changes are not
/// reported.
int bit_width_of(std::size_t count)
{
    return static_cast<int>(std::bit_width(count));
}

bool must_report_change(std::uint32_t known, std::size_t count)
{
    const int before = bit_width_of(known);
    const int width = bit_width_of(count);
    return (before == 0) != (width == 0) || width > before || width + 1 < before;
}

demand_item item_of(const waiting_queue& queue, account_key client_account, instant now)
{
    const entry_request* const first = queue.first_of(client_account);
    if (first == nullptr) {
        return demand_item{.client_account = client_account, .waiting = 0};
    }
    return demand_item{.client_account = client_account,
                       .waiting = static_cast<std::uint32_t>(queue.count_of(client_account)),
                       .oldest_request_age = now - queue.oldest_arrival(client_account),
                       .estimated_cost = first->estimated_cost};
}

/// Returns the accounts for which a report may be due.
std::vector<account_key> accounts_of(const waiting_queue& queue, const reported_demand& reported)
{
    std::vector<account_key> accounts = queue.changed_since(reported.queue_version);
    accounts.insert(accounts.end(), reported.unconfirmed.begin(), reported.unconfirmed.end());
    std::sort(accounts.begin(), accounts.end());
    accounts.erase(std::unique(accounts.begin(), accounts.end()), accounts.end());
    return accounts;
}

void clear_reported(reported_demand& reported)
{
    reported.accounts.clear();
    reported.unconfirmed.clear();
    reported.queue_version = 0;
}

} // namespace

bool is_demand_due(const waiting_queue& queue, const reported_demand& reported)
{
    return reported.is_snapshot_due || reported.queue_version != queue.version() ||
           !reported.unconfirmed.empty();
}

bool is_demand_urgent(const waiting_queue& queue, const reported_demand& reported)
{
    const std::vector<account_key> accounts = accounts_of(queue, reported);
    return std::any_of(accounts.begin(), accounts.end(), [&](account_key it) {
        const bool is_current = reported.accounts.contains(it) && !reported.unconfirmed.contains(it);
        return !is_current && queue.count_of(it) > 0;
    });
}

std::optional<demand_message> next_demand(const waiting_queue& queue, reported_demand& reported, instant now)
{
    demand_message result;
    result.is_snapshot = std::exchange(reported.is_snapshot_due, false);
    if (result.is_snapshot) {
        clear_reported(reported);
    }
    for (const account_key it : accounts_of(queue, reported)) {
        const auto count = static_cast<std::uint32_t>(queue.count_of(it));
        const auto known = reported.accounts.find(it);
        const bool is_unconfirmed = reported.unconfirmed.erase(it) > 0;
        if (!is_unconfirmed &&
            !must_report_change(known == reported.accounts.end() ? 0 : known->second, count)) {
            continue;
        }
        if (count == 0) {
            reported.accounts.erase(it);
        }
        else {
            reported.accounts.insert_or_assign(it, count);
        }
        result.items.push_back(item_of(queue, it, now));
    }
    reported.queue_version = queue.version();
    if (result.items.empty() && !result.is_snapshot) {
        return std::nullopt;
    }
    result.sequence = ++reported.sequence;
    return result;
}

std::optional<demand_message> retract_demand(reported_demand& reported)
{
    if (reported.accounts.empty() && reported.unconfirmed.empty()) {
        return std::nullopt;
    }
    clear_reported(reported);
    reported.is_snapshot_due = true;
    demand_message result;
    result.is_snapshot = true;
    result.sequence = ++reported.sequence;
    return result;
}

void on_grant_used(reported_demand& reported, account_key client_account)
{
    const auto it = reported.accounts.find(client_account);
    if (it == reported.accounts.end()) {
        return;
    }
    if (it->second > 1) {
        --it->second;
    }
    else {
        reported.unconfirmed.insert(client_account);
    }
}

void on_grant_declined(reported_demand& reported, account_key client_account)
{
    reported.unconfirmed.insert(client_account);
}

} // namespace hemlocknotch
