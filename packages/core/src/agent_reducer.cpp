#include <hemlocknotch/core/agent_reducer.hpp>
#include <hemlocknotch/core/agent_state.hpp>

#include "agent_answers.hpp"
#include "agent_context.hpp"
#include "agent_endpoint.hpp"
#include "agent_grants.hpp"
#include "agent_lifecycle.hpp"
#include "agent_links.hpp"
#include "agent_reports.hpp"
#include "agent_submits.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch {
namespace {

/// Dispatches one message of an entry to its handler.
struct message_visitor {
    agent_context& context;
    link_id link;

    void operator()(const hello_message& value) const { agent::on_hello(context, link, value); }

    void operator()(const submit_message& value) const { agent::on_submit(context, link, value); }

    void operator()(const ack_message& value) const { agent::on_ack(context, link, value); }

    void operator()(const cancel_message& value) const { agent::on_cancel(context, link, value); }

    void operator()(const resolve_message& value) const { agent::on_resolve(context, link, value); }

    void operator()(const demand_message& value) const { agent::on_demand(context, link, value); }

    void operator()(const decline_message& value) const { agent::on_decline(context, link, value); }

    void operator()(const service_report_message& value) const { agent::on_service_report(context, value); }

    void operator()(const service_totals_message& value) const
    {
        agent::on_service_totals(context, link, value);
    }

    void operator()(const heartbeat_message& value) const { agent::on_heartbeat(context, link, value); }

    void operator()(const revision_message& value) const
    {
        send_all(context.tracker.on_revision(link, value.revision));
    }

    void operator()(const configuration_request_message& /*value*/) const
    {
        send_all(context.tracker.on_request(link));
    }

    void operator()(const configuration_message& value) const
    {
        if (auto order = context.tracker.on_document(value)) {
            context.add(std::move(*order));
        }
    }

    /// Handles messages that only agents send: they violate the protocol.
    template <class Other>
    void operator()(const Other& value) const
    {
        context.reject_link(link, "an entry does not send " + std::string{kind_of(value)});
    }

private:
    void send_all(std::vector<send_effect> messages) const
    {
        for (send_effect& it : messages) {
            context.send(it.link, std::move(it.content));
        }
    }
};

void on_message(agent_context& context, const link_message_event& event)
{
    agent_link* const link = context.links.find(event.link);
    if (link == nullptr || link->is_rejected) {
        return;
    }
    if (!link->peer && !std::holds_alternative<hello_message>(event.content)) {
        context.reject_link(event.link, "no hello");
        return;
    }
    link->last_received = context.now;
    std::visit(message_visitor{context, event.link}, event.content);
    if (const agent_link* const still = context.links.find(event.link)) {
        agent::on_peer_message(context, *still);
    }
}

void report_gauges(agent_context& context)
{
    const auto gauge = [&](std::string_view name, double value) {
        context.measure(metric_kind::gauge, name, value);
    };
    gauge("hemlocknotch_agent_waiting_requests", static_cast<double>(context.dispatches.waiting()));
    gauge("hemlocknotch_agent_grants", static_cast<double>(context.grants.size()));
    gauge("hemlocknotch_agent_tombstones", static_cast<double>(context.tombstones.size()));
}

/// Runs the periodic tasks that are due.
void run_periodic_tasks(agent_context& context)
{
    agent_schedule& schedule = context.schedule;
    agent::expire_grants(context);
    if (context.now >= schedule.next_maintenance) {
        schedule.next_maintenance = context.now + context.options.heartbeat_interval / 2;
        agent::keep_links_alive(context);
        agent::replace_idle_calls(context);
        agent::drop_abandoned(context);
        context.tombstones.expire(context.now);
    }
    if (context.now >= schedule.next_report) {
        schedule.next_report = context.now + context.options.report_interval;
        agent::send_reports(context);
        report_gauges(context);
    }
    if (context.now >= schedule.next_health) {
        schedule.next_health = context.now + context.options.health_interval;
        context.add(probe_endpoint_effect{});
    }
}

struct event_visitor {
    agent_context& context;

    void operator()(const link_accepted_event& event) const { agent::on_link_accepted(context, event.link); }

    void operator()(const link_closed_event& event) const { agent::on_link_closed(context, event); }

    void operator()(const link_message_event& event) const { on_message(context, event); }

    void operator()(const endpoint_head_event& event) const { agent::on_endpoint_head(context, event); }

    void operator()(const endpoint_part_event& event) const { agent::on_endpoint_part(context, event); }

    void operator()(const endpoint_end_event& event) const { agent::on_endpoint_end(context, event); }

    void operator()(const endpoint_health_event& event) const { agent::on_endpoint_health(context, event); }

    void operator()(const endpoint_cache_event& event) const { agent::on_endpoint_cache(context, event); }

    void operator()(const members_event& event) const { agent::on_members(context, event); }

    void operator()(const configuration_event& event) const { agent::on_configuration(context, event); }

    void operator()(const store_contact_event& event) const { agent::on_store_contact(context, event); }

    void operator()(const tick_event& /*event*/) const
    {
        context.schedule.scheduled_tick.reset();
        run_periodic_tasks(context);
    }

    void operator()(const stop_event& event) const { agent::on_stop(context, event); }
};

void schedule_tick(agent_context& context)
{
    agent_schedule& schedule = context.schedule;
    instant at = std::min({schedule.next_maintenance, schedule.next_report, schedule.next_health});
    if (const auto expiry = context.grants.next_expiry()) {
        at = std::min(at, *expiry);
    }
    if (schedule.next_offer) {
        at = std::min(at, *schedule.next_offer);
    }
    if (schedule.scheduled_tick != at) {
        schedule.scheduled_tick = at;
        context.add(schedule_tick_effect{at});
    }
}

/// Starts waiting dispatches and offers free slots after an event that may have freed slots or reported
/// demand. Skipped for heads and parts of answers unless the concurrency limit has changed.
void distribute_slots(agent_context& context, const agent_event& event)
{
    const bool is_part = std::holds_alternative<endpoint_part_event>(event.content);
    const bool is_head = std::holds_alternative<endpoint_head_event>(event.content);
    const bool is_same_limit = context.limit->limit() == context.last_offered_limit;
    if ((is_part || is_head) && is_same_limit) {
        return;
    }
    context.last_offered_limit = context.limit->limit();
    agent::start_waiting(context);
    agent::offer_slots(context);
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
    agent_context& context = state_->context();
    context.begin(event.now, event.entropy);
    std::visit(event_visitor{context}, event.content);
    distribute_slots(context, event);
    agent::report_lifecycle(context);
    schedule_tick(context);
    return std::exchange(context.effects, {});
}

const agent_state& agent_reducer::state() const
{
    return *state_;
}

} // namespace hemlocknotch
