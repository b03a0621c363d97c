#include <hemlocknotch/gateway/share_meter.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>
#include <limits>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// An account whose requested and served rates at this gateway are both below this number of tokens per
/// second is not reported to the other gateways. It is about the rate that remains of a small request of 400
/// tokens after three times `share_meter::time_constant`.
constexpr double negligible_rate = 15.0;
/// Maximum number of accounts. When it is exceeded all are removed together, which loses what was
/// measured during about one `share_meter::time_constant`.
constexpr std::size_t max_accounts = 20'000;

} // namespace

void share_meter::note_requested(std::string_view name, double tokens, instant now)
{
    find_or_add(name).local.requested.add(tokens, now);
}

void share_meter::note_served(std::string_view name, double tokens, instant now)
{
    find_or_add(name).local.served.add(tokens, now);
}

void share_meter::take_back_served(std::string_view name, double tokens, instant served_at, instant now)
{
    if (const auto found = accounts_.find(name); found != accounts_.end()) {
        auto& served = found->second.local.served;
        const auto decay = std::exp(-std::chrono::duration<double>(now - served_at) / time_constant);
        // Rounding, or an account that was dropped meanwhile, must not make the rate negative.
        served.set(std::max(0.0, served.value(now) - tokens * decay), now);
    }
}

void share_meter::set_reported(std::string_view gateway, std::span<const reported_rates> rates)
{
    if (const auto found = reported_.find(gateway); found != reported_.end()) {
        for (const auto& it : found->second) {
            remove(*it.of, it.rates);
        }
        reported_.erase(found);
    }
    for (const auto& it : rates) {
        // Adding an account may remove all others, and what was reported of them.
        auto& of = find_or_add(it.account);
        add(of, it.rates);
        reported_[std::string{gateway}].push_back({&of, it.rates});
    }
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
    auto remaining = capacity;
    for (std::size_t n = 0; n < requested.size(); ++n) {
        const auto share = remaining / static_cast<double>(requested.size() - n);
        if (requested[n] > share) {
            return share;
        }
        remaining -= requested[n];
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
        reported_.clear();
        accounts_.clear();
    }
    return accounts_.emplace(std::string{name}, account{}).first->second;
}

account_rates share_meter::rates_of(const account& it, instant now)
{
    return {it.local.requested.per_second(now) + it.others.requested,
            it.local.served.per_second(now) + it.others.served};
}

void share_meter::add(account& to, const account_rates& rates)
{
    to.others.requested += rates.requested;
    to.others.served += rates.served;
    ++to.reporting;
}

void share_meter::remove(account& from, const account_rates& rates)
{
    assert(from.reporting > 0);
    --from.reporting;
    if (from.reporting == 0) {
        // Discards the rounding errors of the sums.
        from.others = {};
        return;
    }
    // Rounding must not make a rate negative.
    from.others.requested = std::max(0.0, from.others.requested - rates.requested);
    from.others.served = std::max(0.0, from.others.served - rates.served);
}

} // namespace hemlocknotch::gateway
