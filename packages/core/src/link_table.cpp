#include "link_table.hpp"

#include <cassert>
#include <utility>

namespace hemlocknotch {

void link_table::send(entry_step& step, outgoing_link& link, message content)
{
    assert(link.is_open);
    link.last_sent = step.now();
    step.emit(send_effect{link.id, std::move(content)});
}

void link_table::send_all(entry_step& step, std::vector<send_effect> messages)
{
    for (send_effect& it : messages) {
        outgoing_link* const link = find(it.link);
        if (link != nullptr && link->is_open) {
            send(step, *link, std::move(it.content));
        }
    }
}

outgoing_link* link_table::find(link_id id)
{
    const auto it = links_.find(id);
    return it == links_.end() ? nullptr : &it->second;
}

agent_target* link_table::find_target(std::string_view name)
{
    const auto it = targets_.find(name);
    return it == targets_.end() ? nullptr : &it->second;
}

outgoing_link* link_table::usable_link_to(std::string_view name)
{
    const agent_target* const target = find_target(name);
    if (target == nullptr) {
        return nullptr;
    }
    outgoing_link* const link = find(target->link);
    return link != nullptr && link->has_hello ? link : nullptr;
}

void link_table::choose(entry_step& step, std::span<const member> chosen)
{
    for (auto& [name, target] : targets_) {
        target.is_chosen = false;
    }
    for (const member& it : chosen) {
        agent_target* target = find_target(it.name);
        if (target == nullptr) {
            target = &targets_.emplace(it.name, agent_target{.description = it, .retry_at = step.now()})
                          .first->second;
        }
        const bool has_new_address = target->description.address != it.address;
        target->description = it;
        target->is_chosen = true;
        if (target->link == 0 || (has_new_address && target->replacement == 0)) {
            open(step, *target);
        }
    }
}

void link_table::open(entry_step& step, agent_target& target)
{
    const link_id id = ++last_link_;
    outgoing_link link;
    link.id = id;
    link.target = target.description.name;
    link.last_received = step.now();
    link.last_sent = step.now();
    links_.emplace(id, std::move(link));
    (target.link == 0 ? target.link : target.replacement) = id;
    step.emit(open_link_effect{id, target.description.address});
}

void link_table::close(entry_step& step, outgoing_link& link, std::string reason)
{
    if (link.is_closing) {
        return;
    }
    link.is_closing = true;
    link.is_open = false;
    link.has_hello = false;
    step.emit(close_link_effect{link.id, std::move(reason)});
}

void link_table::remove(link_id id)
{
    const auto it = links_.find(id);
    assert(it != links_.end());
    agent_target* const target = find_target(it->second.target);
    if (target != nullptr && target->link == id) {
        target->link = std::exchange(target->replacement, 0);
    }
    if (target != nullptr && target->replacement == id) {
        target->replacement = 0;
    }
    links_.erase(it);
}

outgoing_link* link_table::put_in_use(outgoing_link& link)
{
    agent_target* const target = find_target(link.target);
    if (target == nullptr || target->link == link.id) {
        return nullptr;
    }
    assert(target->replacement == link.id);
    outgoing_link* const before = find(target->link);
    target->link = link.id;
    target->replacement = 0;
    return before;
}

void link_table::drop_target(std::string_view name)
{
    const auto it = targets_.find(name);
    assert(it != targets_.end() && it->second.link == 0 && it->second.replacement == 0);
    targets_.erase(it);
}

} // namespace hemlocknotch
