#include "agent_link_table.hpp"

#include <cassert>

namespace hemlocknotch {

void agent_link_table::add(link_id link, instant now)
{
    agent_link value;
    value.id = link;
    value.last_received = now;
    value.last_sent = now;
    links_.emplace(link, value);
}

void agent_link_table::register_hello(link_id link, const hello_message& hello)
{
    const auto it = links_.find(link);
    assert(it != links_.end());
    assert(!it->second.peer);
    it->second.peer = hello.sender;
    it->second.failure_domain = hello.failure_domain;
    if (agent_link* const older = current_of(hello.sender.incarnation)) {
        older->is_superseded = true;
    }
    current_[hello.sender.incarnation] = link;
}

std::optional<agent_link> agent_link_table::remove(link_id link)
{
    const auto it = links_.find(link);
    if (it == links_.end()) {
        return std::nullopt;
    }
    const agent_link removed = it->second;
    links_.erase(it);
    if (removed.peer && !removed.is_superseded) {
        current_.erase(removed.peer->incarnation);
    }
    return removed;
}

agent_link* agent_link_table::find(link_id link)
{
    const auto it = links_.find(link);
    return it == links_.end() ? nullptr : &it->second;
}

agent_link* agent_link_table::current_of(std::uint64_t incarnation)
{
    const auto it = current_.find(incarnation);
    return it == current_.end() ? nullptr : find(it->second);
}

std::set<std::uint64_t> agent_link_table::incarnations() const
{
    std::set<std::uint64_t> found;
    for (const auto& [link, it] : links_) {
        if (it.peer) {
            found.insert(it.peer->incarnation);
        }
    }
    return found;
}

} // namespace hemlocknotch
