#include "service_reporter.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch {
namespace {

/// Returns `report` without what its receiver has said itself.
service_report_message without_source(service_report_message report, const process_identity& receiver)
{
    std::erase_if(report.sources, [&](const service_source& it) { return it.agent == receiver; });
    return report;
}

void relay(entry_step& step, outgoing_link& link, const service_report_message& changes)
{
    service_report_message report = without_source(changes, link.peer);
    if (!report.sources.empty() || !report.counter_floors.empty()) {
        link_table::send(step, link, std::move(report));
    }
}

} // namespace

void service_reporter::on_hello(entry_step& step, outgoing_link& link)
{
    const auto it = data_.ledgers.find(link.service);
    if (it == data_.ledgers.end()) {
        return;
    }
    if (is_linked_to_all(link.service)) {
        send_totals(step, link, it->second, it->second.counter_floors());
    }
    else {
        relay(step, link, it->second.full_report(link.service));
    }
}

void service_reporter::report(entry_step& step)
{
    for (auto& [service, ledger] : data_.ledgers) {
        const service_report_message changes = ledger.take_changes(service);
        if (changes.sources.empty() && changes.counter_floors.empty()) {
            continue;
        }
        const bool has_totals = is_linked_to_all(service);
        for (auto& [id, link] : data_.links.links()) {
            if (!link.has_hello || link.service != service) {
                continue;
            }
            if (has_totals) {
                send_totals(step, link, ledger, changes.counter_floors);
            }
            else {
                relay(step, link, changes);
            }
        }
    }
}

bool service_reporter::is_linked_to_all(account_key service) const
{
    const auto is_heard = [&](const member& it) {
        return it.role != process_role::agent || it.state != member_state::live ||
               account_key::of(it.service) != service || data_.links.usable_link_to(it.name) != nullptr;
    };
    return std::all_of(data_.members.begin(), data_.members.end(), is_heard);
}

void service_reporter::send_totals(entry_step& step, outgoing_link& link, const service_ledger& ledger,
                                   std::vector<counter_floor_item> counter_floors)
{
    service_totals_message value{link.service, {}, std::move(counter_floors)};
    for (const total_item& it : ledger.totals_excluding(link.peer)) {
        std::uint64_t& told = link.reported_totals[it.client_account];
        if (std::exchange(told, it.charged) != it.charged) {
            value.items.push_back(it);
        }
    }
    if (!value.items.empty() || !value.counter_floors.empty()) {
        link_table::send(step, link, std::move(value));
    }
}

} // namespace hemlocknotch
