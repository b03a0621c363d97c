#include "agent_lifecycle.hpp"

#include <hemlocknotch/core/rendezvous.hpp>

#include "agent_answers.hpp"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace hemlocknotch::agent {
namespace {

bool is_out_of_service(const agent_context& context, const member& it)
{
    const configuration_ptr& current = context.tracker.current();
    return current && current->is_out_of_service(it.name, it.failure_domain);
}

void update_agent_count(agent_context& context)
{
    const auto takes_work = [&](const member& it) {
        return it.role == process_role::agent && it.service == context.options.service &&
               it.state == member_state::live && !is_out_of_service(context, it);
    };
    const auto n = std::count_if(context.members.begin(), context.members.end(), takes_work);
    context.selector.set_agent_count(std::max<std::size_t>(1, static_cast<std::size_t>(n)));
}

void update_watch(agent_context& context)
{
    std::vector<std::string> same_domain;
    for (const member& it : context.members) {
        if (it.failure_domain == context.options.failure_domain && it.state == member_state::live) {
            same_domain.push_back(it.name);
        }
    }
    const bool is_wanted =
        is_watcher(context.options.identity.name, same_domain, context.options.watchers_per_domain);
    if (is_wanted != context.is_watching) {
        context.is_watching = is_wanted;
        context.add(watch_store_effect{is_wanted});
    }
}

bool has_no_dispatches(const agent_context& context)
{
    return context.dispatches.size() == 0;
}

} // namespace

std::optional<refusal_code> work_refusal(const agent_context& context)
{
    const configuration_ptr& current = context.tracker.current();
    if (context.stop.requested || context.is_leaving) {
        return refusal_code::shutting_down;
    }
    if (!current) {
        return refusal_code::no_configuration;
    }
    if (current->is_out_of_service(context.options.identity.name, context.options.failure_domain)) {
        return refusal_code::out_of_service;
    }
    if (!context.reachability || !context.reachability->is_reachable(context.now)) {
        return refusal_code::out_of_service;
    }
    return std::nullopt;
}

bool is_draining(const agent_context& context)
{
    const auto reason = work_refusal(context);
    return reason == refusal_code::shutting_down || reason == refusal_code::out_of_service;
}

void on_configuration(agent_context& context, const configuration_event& event)
{
    assert(event.accepted != nullptr);
    for (send_effect& it : context.tracker.accept(event.accepted)) {
        context.send(it.link, std::move(it.content));
    }
    if (context.tracker.current() != event.accepted) {
        return;
    }
    context.selector.set_configuration(event.accepted);
    update_agent_count(context);
    context.log(log_level::info, "configuration-accepted",
                {{"revision", std::to_string(event.accepted->revision)}});
    context.measure(metric_kind::gauge, "hemlocknotch_configuration_revision",
                    static_cast<double>(event.accepted->revision));
}

void on_members(agent_context& context, const members_event& event)
{
    context.members = event.members;
    const auto is_self = [&](const member& it) {
        return it.role == process_role::agent && it.name == context.options.identity.name;
    };
    const auto self = std::find_if(context.members.begin(), context.members.end(), is_self);
    context.is_leaving = self != context.members.end() && self->state == member_state::leaving;
    const auto is_other_domain = [&](const member& it) {
        return it.failure_domain != context.options.failure_domain;
    };
    assert(context.reachability);
    context.reachability->set_has_other_domains(
        std::any_of(context.members.begin(), context.members.end(), is_other_domain));
    update_agent_count(context);
    update_watch(context);
}

void on_store_contact(agent_context& context, const store_contact_event& event)
{
    assert(context.reachability);
    if (event.is_reached) {
        context.reachability->on_store_contact(context.now);
    }
}

void on_peer_message(agent_context& context, const agent_link& link)
{
    assert(context.reachability);
    if (!link.peer) {
        return;
    }
    if (link.failure_domain == context.options.failure_domain) {
        context.reachability->on_own_domain_contact(context.now);
    }
    else {
        context.reachability->on_other_domain_contact(context.now);
    }
}

void on_stop(agent_context& context, const stop_event& event)
{
    if (!context.stop.requested) {
        context.stop.requested = context.now;
        context.log(log_level::info, "stop-asked", {});
    }
    context.stop.is_immediate = context.stop.is_immediate || event.is_immediate;
}

void report_lifecycle(agent_context& context)
{
    const bool is_ready = !work_refusal(context);
    if (is_ready != context.was_ready) {
        context.was_ready = is_ready;
        context.add(readiness_effect{is_ready});
    }
    const bool is_past_limit =
        context.stop.requested && context.now - *context.stop.requested >= context.options.stop_limit;
    const bool is_cut = context.stop.requested && (context.stop.is_immediate || is_past_limit);
    if (is_cut && !context.stop.is_stopped) {
        end_everything(context);
    }
    const bool is_going = context.stop.requested || context.is_leaving;
    if (is_going && !context.stop.is_stopped && (is_cut || has_no_dispatches(context))) {
        context.stop.is_stopped = true;
        context.log(log_level::info, "stopped", {});
        context.add(stopped_effect{});
    }
}

} // namespace hemlocknotch::agent
