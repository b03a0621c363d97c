#include "fleet_reports.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// Rate of an endpoint without open requests, in tokens per second, below which it is not reported: a
/// hundredth of the rate of the slowest engines. Rates decay exponentially, so a lower limit would only
/// extend the reports by seconds.
constexpr double negligible_rate = 100.0;

/// Time for which an endpoint that leaves is reported: several reports of a large fleet. By then the registry
/// shows it too.
constexpr duration leaving_report_time = std::chrono::seconds{10};
/// Shortest time between two reports: a tenth of an objective of one second.
constexpr duration min_report_interval = std::chrono::milliseconds{100};
/// The interval grows with the number of other gateways, so that a gateway sends and receives some 80
/// datagrams per second each.
constexpr std::size_t others_per_interval = 8;

} // namespace

duration report_interval(std::size_t others)
{
    const auto multiple = std::max<std::size_t>(1, others / others_per_interval);
    return min_report_interval * static_cast<int>(multiple);
}

void fleet_reports::set_gateways(std::size_t gateways)
{
    assert(gateways >= 1);
    gateways_ = gateways;
    endpoints_.set_gateways(gateways);
    update_non_reporting_gateways();
}

fleet_report fleet_reports::create(const admission_map& services, instant now) const
{
    fleet_report out;
    for (const auto& [name, it] : endpoints_.all()) {
        if (it->limit.is_own && now - it->limit.observed_at < endpoint_table::limit_lifetime) {
            out.limits.push_back({name, it->limit.requests_per_second, now - it->limit.observed_at});
        }
        if (it->is_pause_own && it->paused_until > now) {
            out.pauses.push_back({name, it->paused_until - now});
        }
        if (it->leaving_since != instant::max() && now - it->leaving_since < leaving_report_time) {
            out.leaving.push_back({name, it->record.started_at_ms});
        }
        const auto rate = it->sent_tokens.per_second(now);
        if (it->running > 0 || rate >= negligible_rate) {
            out.endpoints.push_back({name, it->pending_tokens, it->running, rate});
        }
    }
    for (const auto& [name, service] : services) {
        service->meter().for_each_local(
            now, [&, &name = name](std::string_view account, const account_rates& rates) {
                out.accounts.push_back({name, std::string{account}, rates});
            });
    }
    return out;
}

bool fleet_reports::apply_load(const fleet_report& report)
{
    std::vector<reported_endpoint_load> loads;
    loads.reserve(report.endpoints.size());
    for (const auto& it : report.endpoints) {
        loads.push_back({it.instance, {it.pending_tokens, it.running, it.tokens_per_second}});
    }
    endpoints_.set_peer_load(report.gateway, loads);
    const auto is_new = reporting_.insert(report.gateway).second;
    update_non_reporting_gateways();
    return is_new;
}

void fleet_reports::note_configuration(const std::string& gateway, std::uint64_t version)
{
    configurations_.insert_or_assign(gateway, version);
}

std::uint64_t fleet_reports::latest_configuration() const
{
    const auto latest =
        std::ranges::max_element(configurations_, {}, [](const auto& it) { return it.second; });
    return latest == configurations_.end() ? 0 : latest->second;
}

void fleet_reports::remove(std::string_view gateway)
{
    if (const auto it = configurations_.find(gateway); it != configurations_.end()) {
        configurations_.erase(it);
    }
    endpoints_.set_peer_load(gateway, {});
    if (const auto it = reporting_.find(gateway); it != reporting_.end()) {
        reporting_.erase(it);
    }
    update_non_reporting_gateways();
}

void fleet_reports::update_non_reporting_gateways()
{
    const auto known = reporting_.size() + 1;
    endpoints_.set_non_reporting_gateways(gateways_ > known ? gateways_ - known : 0);
}

} // namespace hemlocknotch::gateway
