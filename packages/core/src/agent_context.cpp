#include "agent_context.hpp"

#include <cassert>
#include <string>

namespace hemlocknotch {

agent_context::agent_context(const agent_options& settings, std::unique_ptr<fair_order> order,
                             std::unique_ptr<concurrency_limit> policy)
    : options{settings},
      tombstones{settings.max_tombstones, settings.tombstone_retention},
      grants{settings.grant_time_to_live},
      selector{settings.identity, std::move(order), settings.report_interval},
      limit{std::move(policy)}
{
    assert(limit != nullptr);
}

void agent_context::begin(instant at, std::uint64_t bits)
{
    assert(at >= now || !reachability);
    now = at;
    random = event_random{bits};
    if (!reachability) {
        reachability.emplace(options.out_of_reach_limit, now);
        schedule.next_report = now + options.report_interval;
        schedule.next_health = now;
        schedule.next_maintenance = now;
    }
}

void agent_context::send(link_id link, message content)
{
    agent_link* const it = links.find(link);
    if (it == nullptr) {
        return;
    }
    it->last_sent = now;
    add(send_effect{link, std::move(content)});
}

void agent_context::log(log_level level, std::string_view event, std::vector<log_field> fields)
{
    add(log_effect{level, std::string{event}, std::move(fields)});
}

void agent_context::count(std::string_view name, std::string_view label_name, std::string_view label_value)
{
    add(metric_effect{metric_kind::counter, name, label_name, std::string{label_value}, 1.0});
}

void agent_context::measure(metric_kind kind, std::string_view name, double value)
{
    add(metric_effect{kind, name, {}, {}, value});
}

void agent_context::reject_link(link_id link, std::string_view reason)
{
    log(log_level::warning, "link-rejected",
        {{"link", std::to_string(link)}, {"reason", std::string{reason}}});
    add(close_link_effect{link, std::string{reason}});
    if (agent_link* const it = links.find(link)) {
        it->is_rejected = true;
    }
}

} // namespace hemlocknotch
