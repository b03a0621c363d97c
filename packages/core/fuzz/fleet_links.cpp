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
    time_.after(time_.time(100, 5000), [this, link, address = effect.address] {
        agent_node& agent = agents_[link->agent];
        entry_node& entry = entries_[link->entry];
        const bool is_refused =
            agent.identity != link->agent_process || (is_faulty_ && !options_.is_calm && time_.once_in(8));
        if (is_refused || entry.identity != link->entry_process) {
            cut(link);
            return;
        }
        link->is_open = true;
        link->agent_link = ++agent.last_link;
        agent.links[link->agent_link] = link;
        feed(agent, link_accepted_event{link->agent_link});
        feed_if(entry, link->entry_process, link_opened_event{link->entry_link, address});
    });
}

template <class Node>
void fleet::on(Node& from, const send_effect& effect)
{
    const auto it = from.links.find(effect.link);
    if (it == from.links.end() || !it->second->is_open || it->second->is_silent) {
        return;
    }
    constexpr bool is_down = std::is_same_v<Node, entry_node>;
    deliver(it->second, is_down, effect.content);
    if (options_.is_disordered && is_faulty_ && time_.once_in(50)) {
        deliver(it->second, is_down, effect.content);
    }
}

void fleet::deliver(const connection_ptr& link, bool is_down, message content)
{
    instant at = time_.now() + time_.time(100, options_.is_calm ? 500 : 4000);
    at = std::max(at, link->stalled_until);
    instant& last = is_down ? link->last_down : link->last_up;
    const bool is_late = options_.is_disordered && is_faulty_ && time_.once_in(50);
    at = is_late ? at + time_.time(0, 50000) : std::max(at, last);
    last = is_late ? last : at;
    time_.at(at, [this, link, is_down, kept = std::move(content)] { hand_over(link, is_down, kept); });
}

void fleet::hand_over(const connection_ptr& link, bool is_down, const message& content)
{
    if (!link->is_open || link->is_silent) {
        return;
    }
    trace(entries_[link->entry].identity.name + (is_down ? " -> " : " <- ") +
          agents_[link->agent].identity.name + " " + describe(content));
    if (!is_down) {
        message mutated = content;
        auto* const part = std::get_if<part_message>(&mutated);
        if (part != nullptr && is_mutated("crossed-answer")) {
            part->bytes = std::string(part->bytes.size(), '!');
        }
        feed_if(entries_[link->entry], link->entry_process, link_message_event{link->entry_link, mutated});
        return;
    }
    agent_node& to = agents_[link->agent];
    const auto* const submit = std::get_if<submit_message>(&content);
    if (submit != nullptr && to.seen[submit->id].first < submit->attempt) {
        to.seen[submit->id] = {submit->attempt, is_out_of_service(to)};
    }
    feed_if(to, link->agent_process, link_message_event{link->agent_link, content});
}

template <class Node>
void fleet::on(Node& from, const close_link_effect& effect)
{
    const auto it = from.links.find(effect.link);
    if (it != from.links.end()) {
        time_.after(time_.time(100, 2000), [this, link = it->second] { cut(link); });
    }
}

void fleet::cut(const connection_ptr& link)
{
    link->is_open = false;
    entry_node& entry = entries_[link->entry];
    agent_node& agent = agents_[link->agent];
    if (entry.identity == link->entry_process && entry.links.erase(link->entry_link) > 0) {
        time_.after(time_.time(100, 5000), [this, link] {
            feed_if(entries_[link->entry], link->entry_process, link_closed_event{link->entry_link, "cut"});
        });
    }
    if (agent.identity == link->agent_process && agent.links.erase(link->agent_link) > 0) {
        time_.after(time_.time(100, 5000), [this, link] {
            feed_if(agents_[link->agent], link->agent_process, link_closed_event{link->agent_link, "cut"});
        });
    }
}

template void fleet::on(entry_node&, const send_effect&);
template void fleet::on(agent_node&, const send_effect&);
template void fleet::on(entry_node&, const close_link_effect&);
template void fleet::on(agent_node&, const close_link_effect&);

} // namespace hemlocknotch::fuzz
