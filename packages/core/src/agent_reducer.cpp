#include <hemlocknotch/core/agent_reducer.hpp>
#include <hemlocknotch/core/agent_state.hpp>

#include "agent_answers.hpp"
#include "agent_endpoint.hpp"
#include "agent_grants.hpp"
#include "agent_lifecycle.hpp"
#include "agent_links.hpp"
#include "agent_parts.hpp"
#include "agent_reports.hpp"
#include "agent_submits.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch {
namespace {

/// Takes one message from an entry that has said hello.
struct message_visitor {
    agent_parts& parts;
    link_id link;

    void operator()(const hello_message& value) const { agent::on_hello(parts, link, value); }

    void operator()(const submit_message& value) const { agent::on_submit(parts, link, value); }

    void operator()(const ack_message& value) const { agent::on_ack(parts, link, value); }

    void operator()(const cancel_message& value) const { agent::on_cancel(parts, link, value); }

    void operator()(const resolve_message& value) const { agent::on_resolve(parts, link, value); }

    void operator()(const demand_message& value) const { agent::on_demand(parts, link, value); }

    void operator()(const decline_message& value) const { agent::on_decline(parts, link, value); }

    void operator()(const service_report_message& value) const { agent::on_service_report(parts, value); }

    void operator()(const service_totals_message& value) const
    {
        agent::on_service_totals(parts, link, value);
    }

    void operator()(const heartbeat_message& value) const { agent::on_heartbeat(parts, link, value); }

    void operator()(const revision_message& value) const
    {
        send_all(parts.tracker.on_revision(link, value.revision));
    }

    void operator()(const configuration_request_message& /*value*/) const
    {
        send_all(parts.tracker.on_request(link));
    }

    void operator()(const configuration_message& value) const
    {
        if (auto order = parts.tracker.on_document(value)) {
            parts.add(std::move(*order));
        }
    }

    /// What only agents send breaks the protocol.
    template <class Other>
    void operator()(const Other& value) const
    {
        parts.reject_link(link, "an entry does not send " + std::string{kind_of(value)});
    }

private:
    void send_all(std::vector<send_effect> messages) const
    {
        for (send_effect& it : messages) {
            parts.send(it.link, std::move(it.content));
        }
    }
};

void on_message(agent_parts& parts, const link_message_event& event)
{
    agent_link* const link = parts.links.find(event.link);
    if (link == nullptr || link->is_rejected) {
        return;
    }
    if (!link->peer && !std::holds_alternative<hello_message>(event.content)) {
        parts.reject_link(event.link, "no hello");
        return;
    }
    link->last_heard = parts.now;
    std::visit(message_visitor{parts, event.link}, event.content);
    if (const agent_link* const still = parts.links.find(event.link)) {
        agent::on_heard(parts, *still);
    }
}

void tell_gauges(agent_parts& parts)
{
    const auto gauge = [&](std::string_view name, double value) {
        parts.measure(metric_kind::gauge, name, value);
    };
    gauge("hemlocknotch_agent_waiting_requests", static_cast<double>(parts.dispatches.waiting()));
    gauge("hemlocknotch_agent_grants", static_cast<double>(parts.grants.size()));
    gauge("hemlocknotch_agent_tombstones", static_cast<double>(parts.tombstones.size()));
}

/// Does what is due at this time.
void do_periodic_duties(agent_parts& parts)
{
    agent_schedule& schedule = parts.schedule;
    agent::expire_grants(parts);
    if (parts.now >= schedule.next_round) {
        schedule.next_round = parts.now + parts.options.heartbeat_interval / 2;
        agent::keep_links_alive(parts);
        agent::replace_silent_calls(parts);
        agent::drop_abandoned(parts);
        parts.tombstones.expire(parts.now);
    }
    if (parts.now >= schedule.next_report) {
        schedule.next_report = parts.now + parts.options.report_interval;
        agent::send_reports(parts);
        tell_gauges(parts);
    }
    if (parts.now >= schedule.next_health) {
        schedule.next_health = parts.now + parts.options.health_interval;
        parts.add(probe_endpoint_effect{});
    }
}

struct event_visitor {
    agent_parts& parts;

    void operator()(const link_accepted_event& event) const { agent::on_link_accepted(parts, event.link); }

    void operator()(const link_closed_event& event) const { agent::on_link_closed(parts, event); }

    void operator()(const link_message_event& event) const { on_message(parts, event); }

    void operator()(const endpoint_head_event& event) const { agent::on_endpoint_head(parts, event); }

    void operator()(const endpoint_part_event& event) const { agent::on_endpoint_part(parts, event); }

    void operator()(const endpoint_end_event& event) const { agent::on_endpoint_end(parts, event); }

    void operator()(const endpoint_health_event& event) const { agent::on_endpoint_health(parts, event); }

    void operator()(const endpoint_cache_event& event) const { agent::on_endpoint_cache(parts, event); }

    void operator()(const members_event& event) const { agent::on_members(parts, event); }

    void operator()(const configuration_event& event) const { agent::on_configuration(parts, event); }

    void operator()(const store_contact_event& event) const { agent::on_store_contact(parts, event); }

    void operator()(const tick_event& /*event*/) const
    {
        parts.schedule.scheduled.reset();
        do_periodic_duties(parts);
    }

    void operator()(const stop_event& event) const { agent::on_stop(parts, event); }
};

void schedule_tick(agent_parts& parts)
{
    agent_schedule& schedule = parts.schedule;
    instant at = std::min({schedule.next_round, schedule.next_report, schedule.next_health});
    if (const auto expiry = parts.grants.next_expiry()) {
        at = std::min(at, *expiry);
    }
    if (schedule.next_offer) {
        at = std::min(at, *schedule.next_offer);
    }
    if (schedule.scheduled != at) {
        schedule.scheduled = at;
        parts.add(schedule_tick_effect{at});
    }
}

/// Hands out places where an event may have freed some or told of work for them.
void hand_out_places(agent_parts& parts, const agent_event& event)
{
    const bool is_part = std::holds_alternative<endpoint_part_event>(event.content);
    const bool is_head = std::holds_alternative<endpoint_head_event>(event.content);
    const bool is_same_limit = parts.limit->limit() == parts.limit_offered;
    if ((is_part || is_head) && is_same_limit) {
        return;
    }
    parts.limit_offered = parts.limit->limit();
    agent::start_waiting(parts);
    agent::offer_places(parts);
}

} // namespace

agent_reducer::agent_reducer(const agent_options& options, std::unique_ptr<fair_order> order,
                             std::unique_ptr<concurrency_limit> limit)
    : state_{std::make_unique<agent_state>(options, std::move(order), std::move(limit))}
{
}

agent_reducer::~agent_reducer() = default;
agent_reducer::agent_reducer(agent_reducer&&) noexcept = default;
agent_reducer& agent_reducer::operator=(agent_reducer&&) noexcept = default;

std::vector<agent_effect> agent_reducer::reduce(const agent_event& event)
{
    agent_parts& parts = state_->parts();
    parts.begin(event.now, event.entropy);
    std::visit(event_visitor{parts}, event.content);
    hand_out_places(parts, event);
    agent::tell_lifecycle(parts);
    schedule_tick(parts);
    return std::exchange(parts.effects, {});
}

const agent_state& agent_reducer::state() const
{
    return *state_;
}

} // namespace hemlocknotch
