#include "agent_links.hpp"

#include "agent_grants.hpp"
#include "agent_lifecycle.hpp"

#include <string>

namespace hemlocknotch::agent {
namespace {

/// A link on which nothing was received is closed after this many times `peer_timeout`. The entry replaces
/// such a link earlier and then no longer needs the old one.
constexpr int unresponsive_factor = 3;

/// The heartbeat interval of links without dispatches is this many times longer.
constexpr int idle_heartbeat_factor = 2;

bool has_work(const agent_context& context, link_id link)
{
    const auto is_on_link = [link](const agent_dispatch& it) { return it.link == link; };
    return !context.dispatches.select(is_on_link).empty();
}

/// Returns why the link is closed on this hello; an empty string if the hello is accepted.
std::string hello_rejection(const agent_context& context, const hello_message& value)
{
    if (value.version != protocol_version) {
        return "protocol version " + std::to_string(value.version) + " is not " +
               std::to_string(protocol_version);
    }
    if (value.role != process_role::entry) {
        return "the peer is not an entry";
    }
    if (!value.service.empty() && value.service != context.options.service) {
        return "the peer asks for service " + value.service + ", not " + context.options.service;
    }
    return {};
}

} // namespace

void on_link_accepted(agent_context& context, link_id link)
{
    context.links.add(link, context.now);
    hello_message hello;
    hello.role = process_role::agent;
    hello.sender = context.options.identity;
    hello.failure_domain = context.options.failure_domain;
    hello.service = context.options.service;
    hello.configuration_revision = context.tracker.revision();
    context.send(link, hello);
}

void on_hello(agent_context& context, link_id link, const hello_message& value)
{
    const agent_link* const known = context.links.find(link);
    if (known == nullptr) {
        return;
    }
    if (known->peer) {
        context.reject_link(link, "a second hello");
        return;
    }
    if (const std::string reason = hello_rejection(context, value); !reason.empty()) {
        context.reject_link(link, reason);
        return;
    }
    context.links.register_hello(link, value);
    context.log(log_level::info, "link-opened",
                {{"link", std::to_string(link)}, {"entry", value.sender.name}});
    for (send_effect& it : context.tracker.add_link(link, value.configuration_revision)) {
        context.send(it.link, std::move(it.content));
    }
    const auto key = account_key::of(context.options.service);
    service_report_message report = context.selector.ledger().full_report(key);
    if (!report.sources.empty() || !report.counter_floors.empty()) {
        context.send(link, std::move(report));
    }
}

void on_link_closed(agent_context& context, const link_closed_event& event)
{
    const auto removed = context.links.remove(event.link);
    if (!removed) {
        return;
    }
    for (send_effect& it : context.tracker.remove_link(event.link)) {
        context.send(it.link, std::move(it.content));
    }
    return_grants_of(context, event.link);
    context.demand.remove_link(event.link);
    context.selector.set_backlogged(context.demand.backlogged(), context.now);
    const auto is_on_link = [&](const agent_dispatch& it) { return it.link == event.link; };
    for (const request_id& id : context.dispatches.select(is_on_link)) {
        agent_dispatch& it = *context.dispatches.find(id);
        it.link = 0;
        it.orphaned = context.now;
    }
    context.tombstones.retain_entries(context.links.incarnations());
    context.log(log_level::info, "link-closed",
                {{"link", std::to_string(event.link)}, {"reason", event.reason}});
}

void on_heartbeat(agent_context& context, link_id link, const heartbeat_message& value)
{
    if (!value.is_reply) {
        context.send(link, heartbeat_message{value.sequence, true});
    }
}

void keep_links_alive(agent_context& context)
{
    for (auto& [link, it] : context.links.all()) {
        if (it.is_rejected) {
            continue;
        }
        if (context.now - it.last_received >= context.options.peer_timeout * unresponsive_factor) {
            context.reject_link(link, "silent");
            continue;
        }
        const duration interval = has_work(context, link)
                                      ? context.options.heartbeat_interval
                                      : context.options.heartbeat_interval * idle_heartbeat_factor;
        if (it.peer && context.now - it.last_sent >= interval) {
            context.send(link, heartbeat_message{++it.last_heartbeat, false});
        }
    }
}

} // namespace hemlocknotch::agent
