#include "account_selector.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

/// An account is idle once it has not been backlogged for this many report intervals.
constexpr int idle_intervals = 3;

} // namespace

account_selector::account_selector(process_identity own, std::unique_ptr<fair_order> order,
                                   duration report_interval)
    : ledger_{std::move(own)}, order_{std::move(order)}, report_interval_{report_interval}
{
    assert(report_interval_ > duration::zero());
    assert(order_ != nullptr);
}

void account_selector::set_agent_count(std::size_t n)
{
    assert(n >= 1);
    agent_count_ = n;
}

void account_selector::set_backlogged(const std::vector<account_key>& backlogged, instant now)
{
    std::optional<double> lowest;
    for (const account_key it : backlogged_) {
        lowest = lowest ? std::min(*lowest, counter(it)) : counter(it);
    }
    counter_floor_ = std::max(counter_floor_, lowest.value_or(0.0));
    for (const account_key it : backlogged) {
        if (was_idle(it, now)) {
            ledger_.raise_to(it, weight_of(it), lowest.value_or(counter_floor_));
        }
    }
    record_backlogged(backlogged, now);
}

bool account_selector::was_idle(account_key client_account, instant now) const
{
    const auto it = last_backlogged_.find(client_account);
    return !backlogged_.contains(client_account) &&
           (it == last_backlogged_.end() || now - it->second > idle_intervals * report_interval_);
}

void account_selector::record_backlogged(const std::vector<account_key>& backlogged, instant now)
{
    for (const account_key it : backlogged_) {
        last_backlogged_[it] = now;
    }
    std::erase_if(last_backlogged_,
                  [&](const auto& it) { return now - it.second > idle_intervals * report_interval_; });
    backlogged_ = {backlogged.begin(), backlogged.end()};
}

std::optional<std::size_t> account_selector::next(std::span<const account_demand> waiting, instant now,
                                                  std::uint64_t entropy) const
{
    std::vector<backlogged_account> candidates;
    candidates.reserve(waiting.size());
    for (const account_demand& it : waiting) {
        candidates.push_back(
            {it.client_account, weight_of(it.client_account), it.estimated_cost, now - it.oldest_since});
    }
    return order_->next(candidates, ledger_,
                        {now, entropy, agent_count_, mean_cost_, current_rate(), report_interval_});
}

double account_selector::reserve_for(double estimated_cost) const
{
    constexpr double reserve_share = 0.5;
    return reserve_share * (has_mean_cost_ ? mean_cost_ : estimated_cost);
}

void account_selector::charge(account_key client_account, double units)
{
    ledger_.charge(client_account, units);
    charged_since_report_ += units;
}

service_report_message account_selector::take_report(account_key service)
{
    /// Weight of the newest report interval in the mean rate.
    constexpr double newest_share = 0.1;
    const double seconds = std::chrono::duration<double>(report_interval_).count();
    const double rate = std::max(0.0, std::exchange(charged_since_report_, 0.0)) / seconds;
    own_rate_ = own_rate_ > 0.0 ? own_rate_ + newest_share * (rate - own_rate_) : rate;
    return ledger_.take_changes(service);
}

double account_selector::current_rate() const
{
    const double seconds = std::chrono::duration<double>(report_interval_).count();
    const double since_report = std::max(charged_since_report_, reserve_for(mean_cost_));
    return std::max(own_rate_, since_report / seconds);
}

void account_selector::on_completed(double cost)
{
    /// Weight of the newest request in the mean.
    constexpr double newest_share = 0.05;
    mean_cost_ = std::exchange(has_mean_cost_, true) ? mean_cost_ + newest_share * (cost - mean_cost_) : cost;
}

double account_selector::weight_of(account_key client_account) const
{
    return configuration_ ? configuration_->weight_of(client_account) : 1.0;
}

double account_selector::counter(account_key client_account) const
{
    return ledger_.counter(client_account, weight_of(client_account));
}

} // namespace hemlocknotch
