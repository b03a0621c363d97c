#include "agent_reports.hpp"

#include <algorithm>
#include <iterator>

namespace hemlocknotch::agent {
namespace {

/// Reports between two that tell one entry everything.
constexpr std::uint64_t full_report_period = 10;

std::vector<link_id> current_links(const agent_context& context)
{
    std::vector<link_id> found;
    for (const auto& [link, it] : context.links.all()) {
        if (it.peer && !it.is_superseded) {
            found.push_back(link);
        }
    }
    return found;
}

bool is_relaying(const agent_context& context, std::size_t link_count)
{
    const auto is_live_entry = [](const member& it) {
        return it.role == process_role::entry && it.state == member_state::live;
    };
    const auto n = std::count_if(context.members.begin(), context.members.end(), is_live_entry);
    return static_cast<std::size_t>(n) > link_count;
}

} // namespace

void on_service_report(agent_context& context, const service_report_message& value)
{
    if (value.service == account_key::of(context.options.service)) {
        context.selector.ledger().merge(value);
    }
}

void on_service_totals(agent_context& context, link_id link, const service_totals_message& value)
{
    const agent_link* const known = context.links.find(link);
    if (known != nullptr && known->peer && value.service == account_key::of(context.options.service)) {
        context.selector.ledger().merge_totals(known->peer->name, value);
    }
}

void send_reports(agent_context& context)
{
    const auto service = account_key::of(context.options.service);
    const std::vector<link_id> links = current_links(context);
    service_report_message report = context.selector.take_report(service);
    if (!is_relaying(context, links.size())) {
        std::erase_if(report.sources,
                      [&](const service_source& it) { return it.agent != context.options.identity; });
    }
    const bool is_empty = report.sources.empty() && report.counter_floors.empty();
    const std::uint64_t round = context.schedule.reports_sent++;
    for (std::size_t n = 0; n < links.size(); ++n) {
        const bool is_full =
            round % full_report_period == 0 && n == round / full_report_period % links.size();
        if (is_full) {
            context.send(links[n], context.selector.ledger().full_report(service));
        }
        else if (!is_empty) {
            context.send(links[n], report);
        }
    }
}

} // namespace hemlocknotch::agent
