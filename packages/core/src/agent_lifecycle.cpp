#include "agent_lifecycle.hpp"

#include <hemlocknotch/core/rendezvous.hpp>

#include "agent_answers.hpp"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace hemlocknotch::agent {
namespace {

bool is_out_of_service(const agent_parts& parts, const member& it)
{
    const configuration_ptr& current = parts.tracker.current();
    return current && current->is_out_of_service(it.name, it.failure_domain);
}

void update_agent_count(agent_parts& parts)
{
    const auto takes_work = [&](const member& it) {
        return it.role == process_role::agent && it.service == parts.options.service &&
               it.state == member_state::live && !is_out_of_service(parts, it);
    };
    const auto n = std::count_if(parts.members.begin(), parts.members.end(), takes_work);
    parts.selector.set_agent_count(std::max<std::size_t>(1, static_cast<std::size_t>(n)));
}

void update_watch(agent_parts& parts)
{
    std::vector<std::string> same_domain;
    for (const member& it : parts.members) {
        if (it.failure_domain == parts.options.failure_domain && it.state == member_state::live) {
            same_domain.push_back(it.name);
        }
    }
    const bool is_wanted =
        is_watcher(parts.options.identity.name, same_domain, parts.options.watchers_per_domain);
    if (is_wanted != parts.is_watching) {
        parts.is_watching = is_wanted;
        parts.add(watch_store_effect{is_wanted});
    }
}

bool is_everything_over(const agent_parts& parts)
{
    return parts.dispatches.size() == 0;
}

} // namespace

std::optional<refusal_code> reason_against_work(const agent_parts& parts)
{
    const configuration_ptr& current = parts.tracker.current();
    if (parts.stop.asked || parts.is_leaving) {
        return refusal_code::shutting_down;
    }
    if (!current) {
        return refusal_code::no_configuration;
    }
    if (current->is_out_of_service(parts.options.identity.name, parts.options.failure_domain)) {
        return refusal_code::out_of_service;
    }
    if (!parts.reachability || !parts.reachability->is_reachable(parts.now)) {
        return refusal_code::out_of_service;
    }
    return std::nullopt;
}

bool is_draining(const agent_parts& parts)
{
    const auto reason = reason_against_work(parts);
    return reason == refusal_code::shutting_down || reason == refusal_code::out_of_service;
}

void on_configuration(agent_parts& parts, const configuration_event& event)
{
    assert(event.accepted != nullptr);
    for (send_effect& it : parts.tracker.accept(event.accepted)) {
        parts.send(it.link, std::move(it.content));
    }
    if (parts.tracker.current() != event.accepted) {
        return;
    }
    parts.selector.set_configuration(event.accepted);
    update_agent_count(parts);
    parts.log(log_level::info, "configuration-accepted",
              {{"revision", std::to_string(event.accepted->revision)}});
    parts.measure(metric_kind::gauge, "hemlocknotch_configuration_revision",
                  static_cast<double>(event.accepted->revision));
}

void on_members(agent_parts& parts, const members_event& event)
{
    parts.members = event.members;
    const auto is_self = [&](const member& it) {
        return it.role == process_role::agent && it.name == parts.options.identity.name;
    };
    const auto self = std::find_if(parts.members.begin(), parts.members.end(), is_self);
    parts.is_leaving = self != parts.members.end() && self->state == member_state::leaving;
    const auto is_other_domain = [&](const member& it) {
        return it.failure_domain != parts.options.failure_domain;
    };
    assert(parts.reachability);
    parts.reachability->set_has_other_domains(
        std::any_of(parts.members.begin(), parts.members.end(), is_other_domain));
    update_agent_count(parts);
    update_watch(parts);
}

void on_store_contact(agent_parts& parts, const store_contact_event& event)
{
    assert(parts.reachability);
    if (event.is_reached) {
        parts.reachability->on_store_contact(parts.now);
    }
}

void on_heard(agent_parts& parts, const agent_link& link)
{
    assert(parts.reachability);
    if (!link.peer) {
        return;
    }
    if (link.failure_domain == parts.options.failure_domain) {
        parts.reachability->on_own_domain_contact(parts.now);
    }
    else {
        parts.reachability->on_other_domain_contact(parts.now);
    }
}

void on_stop(agent_parts& parts, const stop_event& event)
{
    if (!parts.stop.asked) {
        parts.stop.asked = parts.now;
        parts.log(log_level::info, "stop-asked", {});
    }
    parts.stop.is_immediate = parts.stop.is_immediate || event.is_immediate;
}

void tell_lifecycle(agent_parts& parts)
{
    const bool is_ready = !reason_against_work(parts);
    if (is_ready != parts.was_ready) {
        parts.was_ready = is_ready;
        parts.add(readiness_effect{is_ready});
    }
    const bool is_past_limit = parts.stop.asked && parts.now - *parts.stop.asked >= parts.options.stop_limit;
    const bool is_cut = parts.stop.asked && (parts.stop.is_immediate || is_past_limit);
    if (is_cut && !parts.stop.is_stopped) {
        end_everything(parts);
    }
    const bool is_going = parts.stop.asked || parts.is_leaving;
    if (is_going && !parts.stop.is_stopped && (is_cut || is_everything_over(parts))) {
        parts.stop.is_stopped = true;
        parts.log(log_level::info, "stopped", {});
        parts.add(stopped_effect{});
    }
}

} // namespace hemlocknotch::agent
