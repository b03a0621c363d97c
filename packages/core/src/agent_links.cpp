#include "agent_links.hpp"

#include "agent_grants.hpp"
#include "agent_lifecycle.hpp"

#include <string>

namespace hemlocknotch::agent {
namespace {

/// A silent link is closed here after this many times the silence limit: the entry replaces it sooner, and
/// needs the old one no more.
constexpr int silence_factor = 3;

/// Links without work get a heartbeat this many times less often.
constexpr int idle_factor = 2;

bool has_work(const agent_parts& parts, link_id link)
{
    const auto is_on_link = [link](const agent_dispatch& it) { return it.link == link; };
    return !parts.dispatches.select(is_on_link).empty();
}

std::string reason_against(const agent_parts& parts, const hello_message& value)
{
    if (value.version != protocol_version) {
        return "protocol version " + std::to_string(value.version) + " is not " +
               std::to_string(protocol_version);
    }
    if (value.role != process_role::entry) {
        return "the peer is not an entry";
    }
    if (!value.service.empty() && value.service != parts.options.service) {
        return "the peer asks for service " + value.service + ", not " + parts.options.service;
    }
    return {};
}

} // namespace

void on_link_accepted(agent_parts& parts, link_id link)
{
    parts.links.add(link, parts.now);
    hello_message hello;
    hello.role = process_role::agent;
    hello.sender = parts.options.identity;
    hello.failure_domain = parts.options.failure_domain;
    hello.service = parts.options.service;
    hello.configuration_revision = parts.tracker.revision();
    parts.send(link, hello);
}

void on_hello(agent_parts& parts, link_id link, const hello_message& value)
{
    const agent_link* const known = parts.links.find(link);
    if (known == nullptr) {
        return;
    }
    if (known->peer) {
        parts.reject_link(link, "a second hello");
        return;
    }
    if (const std::string reason = reason_against(parts, value); !reason.empty()) {
        parts.reject_link(link, reason);
        return;
    }
    parts.links.greet(link, value);
    parts.log(log_level::info, "link-opened", {{"link", std::to_string(link)}, {"entry", value.sender.name}});
    for (send_effect& it : parts.tracker.add_link(link, value.configuration_revision)) {
        parts.send(it.link, std::move(it.content));
    }
    const auto key = account_key::of(parts.options.service);
    service_report_message report = parts.selector.ledger().whole(key);
    if (!report.sources.empty() || !report.counter_floors.empty()) {
        parts.send(link, std::move(report));
    }
}

void on_link_closed(agent_parts& parts, const link_closed_event& event)
{
    const auto removed = parts.links.remove(event.link);
    if (!removed) {
        return;
    }
    for (send_effect& it : parts.tracker.remove_link(event.link)) {
        parts.send(it.link, std::move(it.content));
    }
    return_grants_of(parts, event.link);
    parts.demand.remove_link(event.link);
    parts.selector.set_backlogged(parts.demand.backlogged(), parts.now);
    const auto is_on_link = [&](const agent_dispatch& it) { return it.link == event.link; };
    for (const request_id& id : parts.dispatches.select(is_on_link)) {
        agent_dispatch& it = *parts.dispatches.find(id);
        it.link = 0;
        it.orphaned = parts.now;
    }
    parts.tombstones.keep_floors_of(parts.links.incarnations());
    parts.log(log_level::info, "link-closed",
              {{"link", std::to_string(event.link)}, {"reason", event.reason}});
}

void on_heartbeat(agent_parts& parts, link_id link, const heartbeat_message& value)
{
    if (!value.is_reply) {
        parts.send(link, heartbeat_message{value.sequence, true});
    }
}

void keep_links_alive(agent_parts& parts)
{
    for (auto& [link, it] : parts.links.all()) {
        if (it.is_rejected) {
            continue;
        }
        if (parts.now - it.last_heard >= parts.options.peer_timeout * silence_factor) {
            parts.reject_link(link, "silent");
            continue;
        }
        const duration interval = has_work(parts, link) ? parts.options.heartbeat_interval
                                                        : parts.options.heartbeat_interval * idle_factor;
        if (it.peer && parts.now - it.last_sent >= interval) {
            parts.send(link, heartbeat_message{++it.last_heartbeat, false});
        }
    }
}

} // namespace hemlocknotch::agent
