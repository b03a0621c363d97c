#include "agent_reports.hpp"

#include <algorithm>
#include <iterator>

namespace hemlocknotch::agent {
namespace {

/// Reports between two that tell one entry everything.
constexpr std::uint64_t whole_period = 10;

std::vector<link_id> greeted_links(const agent_parts& parts)
{
    std::vector<link_id> found;
    for (const auto& [link, it] : parts.links.all()) {
        if (it.peer && !it.is_superseded) {
            found.push_back(link);
        }
    }
    return found;
}

bool is_relaying(const agent_parts& parts, std::size_t link_count)
{
    const auto is_live_entry = [](const member& it) {
        return it.role == process_role::entry && it.state == member_state::live;
    };
    const auto n = std::count_if(parts.members.begin(), parts.members.end(), is_live_entry);
    return static_cast<std::size_t>(n) > link_count;
}

} // namespace

void on_service_report(agent_parts& parts, const service_report_message& value)
{
    if (value.service == account_key::of(parts.options.service)) {
        parts.selector.ledger().merge(value);
    }
}

void on_service_totals(agent_parts& parts, link_id link, const service_totals_message& value)
{
    const agent_link* const known = parts.links.find(link);
    if (known != nullptr && known->peer && value.service == account_key::of(parts.options.service)) {
        parts.selector.ledger().merge_totals(known->peer->name, value);
    }
}

void send_reports(agent_parts& parts)
{
    const auto service = account_key::of(parts.options.service);
    const std::vector<link_id> links = greeted_links(parts);
    service_report_message report = parts.selector.take_report(service);
    if (!is_relaying(parts, links.size())) {
        std::erase_if(report.sources,
                      [&](const service_source& it) { return it.agent != parts.options.identity; });
    }
    const bool is_empty = report.sources.empty() && report.counter_floors.empty();
    const std::uint64_t round = parts.schedule.reports_sent++;
    for (std::size_t n = 0; n < links.size(); ++n) {
        const bool is_whole = round % whole_period == 0 && n == round / whole_period % links.size();
        if (is_whole) {
            parts.send(links[n], parts.selector.ledger().whole(service));
        }
        else if (!is_empty) {
            parts.send(links[n], report);
        }
    }
}

} // namespace hemlocknotch::agent
