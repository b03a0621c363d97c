#include "fleet_summary.hpp"

#include <algorithm>

namespace hemlocknotch {
namespace {

/// Returns whether the counter of `account` is higher than in `earlier`.
bool has_risen(const std::string& service, const std::string& account, double counter,
               const fleet_counters& earlier)
{
    const auto accounts = earlier.find(service);
    if (accounts == earlier.end()) {
        return true;
    }
    const auto it = accounts->second.find(account);
    return it == accounts->second.end() || counter > it->second;
}

service_spread spread_of(const std::string& service, const std::map<std::string, double>& accounts,
                         const std::optional<fleet_counters>& earlier)
{
    service_spread spread;
    for (const auto& [account, counter] : accounts) {
        if (earlier && !has_risen(service, account, counter, *earlier)) {
            continue;
        }
        spread.lowest = spread.accounts == 0 ? counter : std::min(spread.lowest, counter);
        spread.highest = spread.accounts == 0 ? counter : std::max(spread.highest, counter);
        ++spread.accounts;
    }
    return spread;
}

} // namespace

fleet_counters merge_counters(std::span<const observed_daemon> daemons)
{
    fleet_counters merged;
    for (const observed_daemon& it : daemons) {
        if (!it.status) {
            continue;
        }
        for (const auto& [service, accounts] : it.status->counters) {
            for (const auto& [account, counter] : accounts) {
                double& highest = merged[service][account];
                highest = std::max(highest, counter);
            }
        }
    }
    return merged;
}

fleet_summary summarize(std::span<const observed_daemon> daemons,
                        const std::optional<fleet_counters>& earlier)
{
    fleet_summary summary;
    for (const observed_daemon& it : daemons) {
        summary.live += it.instance.process.state == member_state::live ? 1 : 0;
        if (!it.status) {
            continue;
        }
        ++summary.answering;
        ++summary.revisions[it.status->revision];
        summary.waiting += it.status->waiting;
        if (it.instance.process.role == process_role::agent) {
            service_use& use = summary.use[it.instance.process.service];
            ++use.agents;
            use.running += it.status->running;
            use.limit += it.status->limit;
        }
    }
    for (const auto& [service, accounts] : merge_counters(daemons)) {
        summary.spread[service] = spread_of(service, accounts, earlier);
    }
    return summary;
}

std::string_view health_of(const observed_daemon& daemon, const configuration* current)
{
    const member& process = daemon.instance.process;
    if (!daemon.instance.operators) {
        return "no-address";
    }
    if (!daemon.status) {
        return "no-answer";
    }
    if (current != nullptr && current->is_out_of_service(process.name, process.failure_domain)) {
        return "out";
    }
    if (process.state == member_state::leaving) {
        return "leaving";
    }
    if (daemon.status->is_draining) {
        return "draining";
    }
    return daemon.status->is_ready ? "ok" : "not-ready";
}

} // namespace hemlocknotch
