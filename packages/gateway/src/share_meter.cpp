#include <hemlocknotch/gateway/share_meter.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// Rates, in tokens a second, that are not worth telling: a small request of 400 tokens counts for so much
/// after three times the memory.
constexpr double negligible_rate = 15.0;
/// Accounts that are remembered; more are forgotten together, which costs one memory of fairness.
constexpr std::size_t max_accounts = 20'000;

} // namespace

void share_meter::note_requested(std::string_view name, double tokens, instant now)
{
    auto& it = find_or_add(name);
    it.local.requested.add(tokens, now);
    it.total.requested.add(tokens, now);
}

void share_meter::note_served(std::string_view name, double tokens, instant now)
{
    auto& it = find_or_add(name);
    it.local.served.add(tokens, now);
    it.total.served.add(tokens, now);
}

void share_meter::set_reported(std::string_view gateway, std::string_view name, const account_rates& rates,
                               instant now)
{
    auto& of = find_or_add(name);
    auto it = of.reported.find(gateway);
    if (it == of.reported.end()) {
        it = of.reported.emplace(std::string{gateway}, rate_sums{}).first;
    }
    const auto seconds = std::chrono::duration<double>(time_constant).count();
    replace(it->second.requested, of.total.requested, rates.requested * seconds, now);
    replace(it->second.served, of.total.served, rates.served * seconds, now);
}

account_rates share_meter::rates_of(std::string_view name, instant now) const
{
    const auto it = accounts_.find(name);
    return it == accounts_.end() ? account_rates{} : rates_of(it->second, now);
}

double share_meter::total_served(instant now) const
{
    double out = 0.0;
    for (const auto& [name, it] : accounts_) {
        out += rates_of(it, now).served;
    }
    return out;
}

void share_meter::for_each_local(
    instant now, const std::function<void(std::string_view, const account_rates&)>& visit) const
{
    for (const auto& [name, it] : accounts_) {
        const account_rates rates{it.local.requested.per_second(now), it.local.served.per_second(now)};
        if (rates.requested >= negligible_rate || rates.served >= negligible_rate) {
            visit(name, rates);
        }
    }
}

double share_meter::fair_level(double capacity, instant now) const
{
    std::vector<double> requested;
    requested.reserve(accounts_.size());
    for (const auto& [name, it] : accounts_) {
        requested.push_back(rates_of(it, now).requested);
    }
    std::ranges::sort(requested);
    auto left = capacity;
    for (std::size_t n = 0; n < requested.size(); ++n) {
        const auto share = left / static_cast<double>(requested.size() - n);
        if (requested[n] > share) {
            return share;
        }
        left -= requested[n];
    }
    return std::numeric_limits<double>::max();
}

share_meter::account& share_meter::find_or_add(std::string_view name)
{
    const auto it = accounts_.find(name);
    if (it != accounts_.end()) {
        return it->second;
    }
    if (accounts_.size() >= max_accounts) {
        accounts_.clear();
    }
    return accounts_.emplace(std::string{name}, account{}).first->second;
}

account_rates share_meter::rates_of(const account& it, instant now)
{
    return {it.total.requested.per_second(now), it.total.served.per_second(now)};
}

void share_meter::replace(decaying_sum& part, decaying_sum& total, double amount, instant now)
{
    // Decay is linear, so the sum of decayed parts is the decayed sum; rounding must not leave it below zero.
    total.set(std::max(0.0, total.value(now) - part.value(now) + amount), now);
    part.set(amount, now);
}

} // namespace hemlocknotch::gateway
