#include "describe.hpp"
#include "fleet.hpp"
#include "fleet_size.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch::fuzz {

void fleet::on(entry_node& from, const open_link_effect& effect)
{
    const std::size_t n = effect.address.port() - 1U;
    auto link = std::make_shared<connection>();
    link->entry = static_cast<std::size_t>(&from - entries_.data());
    link->agent = n;
    link->entry_process = from.identity;
    link->agent_process = agents_[n].identity;
    link->entry_link = effect.link;
    from.links[effect.link] = link;
    timeline_.after(timeline_.random_duration(100, 5000), [this, link, address = effect.address] {
        agent_node& agent = agents_[link->agent];
        entry_node& entry = entries_[link->entry];
        const bool is_refused = agent.identity != link->agent_process ||
                                (is_faulty_ && !options_.is_fault_free && timeline_.one_in(8));
        if (is_refused || entry.identity != link->entry_process) {
            disconnect(link);
            return;
        }
        link->is_open = true;
        link->agent_link = ++agent.last_link;
        agent.links[link->agent_link] = link;
        feed(agent, link_accepted_event{link->agent_link});
        feed_if_current(entry, link->entry_process, link_opened_event{link->entry_link, address});
    });
}

template <class Node>
void fleet::on(Node& from, const send_effect& effect)
{
    const auto it = from.links.find(effect.link);
    if (it == from.links.end() || !it->second->is_open || it->second->is_dropping) {
        return;
    }
    constexpr bool is_to_agent = std::is_same_v<Node, entry_node>;
    schedule_delivery(it->second, is_to_agent, effect.content);
    if (options_.is_disordered && is_faulty_ && timeline_.one_in(50)) {
        schedule_delivery(it->second, is_to_agent, effect.content);
    }
}

void fleet::schedule_delivery(const connection_ptr& link, bool is_to_agent, message content)
{
    instant at = timeline_.now() + timeline_.random_duration(100, options_.is_fault_free ? 500 : 4000);
    at = std::max(at, link->stalled_until);
    instant& last = is_to_agent ? link->last_to_agent : link->last_to_entry;
    const bool is_late = options_.is_disordered && is_faulty_ && timeline_.one_in(50);
    at = is_late ? at + timeline_.random_duration(0, 50000) : std::max(at, last);
    last = is_late ? last : at;
    timeline_.at(at, [this, link, is_to_agent, queued = std::move(content)] {
        deliver_now(link, is_to_agent, queued);
    });
}

void fleet::deliver_now(const connection_ptr& link, bool is_to_agent, const message& content)
{
    if (!link->is_open || link->is_dropping) {
        return;
    }
    trace(entries_[link->entry].identity.name + (is_to_agent ? " -> " : " <- ") +
          agents_[link->agent].identity.name + " " + describe(content));
    if (!is_to_agent) {
        message mutated = content;
        auto* const part = std::get_if<part_message>(&mutated);
        if (part != nullptr && is_mutated("crossed-answer")) {
            part->bytes = std::string(part->bytes.size(), '!');
        }
        feed_if_current(entries_[link->entry], link->entry_process,
                        link_message_event{link->entry_link, mutated});
        return;
    }
    agent_node& to = agents_[link->agent];
    const auto* const submit = std::get_if<submit_message>(&content);
    if (submit != nullptr && to.last_attempts[submit->id].first < submit->attempt) {
        to.last_attempts[submit->id] = {submit->attempt, is_out_of_service(to)};
    }
    feed_if_current(to, link->agent_process, link_message_event{link->agent_link, content});
}

template <class Node>
void fleet::on(Node& from, const close_link_effect& effect)
{
    const auto it = from.links.find(effect.link);
    if (it != from.links.end()) {
        timeline_.after(timeline_.random_duration(100, 2000),
                        [this, link = it->second] { disconnect(link); });
    }
}

void fleet::disconnect(const connection_ptr& link)
{
    link->is_open = false;
    entry_node& entry = entries_[link->entry];
    agent_node& agent = agents_[link->agent];
    if (entry.identity == link->entry_process && entry.links.erase(link->entry_link) > 0) {
        timeline_.after(timeline_.random_duration(100, 5000), [this, link] {
            feed_if_current(entries_[link->entry], link->entry_process,
                            link_closed_event{link->entry_link, "cut"});
        });
    }
    if (agent.identity == link->agent_process && agent.links.erase(link->agent_link) > 0) {
        timeline_.after(timeline_.random_duration(100, 5000), [this, link] {
            feed_if_current(agents_[link->agent], link->agent_process,
                            link_closed_event{link->agent_link, "cut"});
        });
    }
}

template void fleet::on(entry_node&, const send_effect&);
template void fleet::on(agent_node&, const send_effect&);
template void fleet::on(entry_node&, const close_link_effect&);
template void fleet::on(agent_node&, const close_link_effect&);

} // namespace hemlocknotch::fuzz
