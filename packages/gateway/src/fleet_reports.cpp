#include "fleet_reports.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// Rate, in tokens a second, of an endpoint without requests that is not worth telling: a hundredth of what
/// the slowest engines do. Rates fall off exponentially, so that a lower one would be told for seconds more.
constexpr double negligible_rate = 100.0;

/// Shortest time between two reports: a tenth of the objectives of a second.
constexpr duration least_report_interval = std::chrono::milliseconds{100};
/// With more others the interval grows, so that a gateway sends and takes some 80 datagrams a second.
constexpr std::size_t others_per_interval = 8;

} // namespace

duration report_interval(std::size_t others)
{
    const auto rounds = std::max<std::size_t>(1, others / others_per_interval);
    return least_report_interval * static_cast<int>(rounds);
}

void fleet_reports::set_gateways(std::size_t gateways)
{
    assert(gateways >= 1);
    gateways_ = gateways;
    endpoints_.set_gateways(gateways);
    count_unheard();
}

fleet_report fleet_reports::make(const admission_map& services, instant now) const
{
    fleet_report out;
    for (const auto& [name, it] : endpoints_.all()) {
        const auto rate = it->sent_tokens.per_second(now);
        if (it->running > 0 || rate >= negligible_rate) {
            out.endpoints.push_back({name, it->pending_tokens, it->running, rate});
        }
    }
    for (const auto& [name, service] : services) {
        service->meter().for_each_own(
            now, [&, &name = name](std::string_view account, const account_rates& rates) {
                out.accounts.push_back({name, std::string{account}, rates});
            });
    }
    return out;
}

void fleet_reports::take_load(const fleet_report& report)
{
    std::vector<told_endpoint_load> loads;
    loads.reserve(report.endpoints.size());
    for (const auto& it : report.endpoints) {
        loads.push_back({it.instance, {it.pending_tokens, it.running, it.tokens_per_second}});
    }
    endpoints_.set_peer_load(report.gateway, loads);
    heard_.insert(report.gateway);
    count_unheard();
}

void fleet_reports::forget(std::string_view gateway)
{
    endpoints_.set_peer_load(gateway, {});
    if (const auto it = heard_.find(gateway); it != heard_.end()) {
        heard_.erase(it);
    }
    count_unheard();
}

void fleet_reports::count_unheard()
{
    const auto known = heard_.size() + 1;
    endpoints_.set_unheard(gateways_ > known ? gateways_ - known : 0);
}

} // namespace hemlocknotch::gateway
