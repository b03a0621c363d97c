#include "fleet.hpp"
#include "fleet_size.hpp"

namespace hemlocknotch::fuzz {

void fleet::break_something()
{
    if (!is_faulty_) {
        return;
    }
    time_.after(time_.time(1000, 1000000), [this] { break_something(); });
    switch (time_.between(0, 7)) {
    case 0:
    case 1:
    case 2:
        break_link();
        break;
    case 3:
        break_process();
        break;
    case 4:
        agents_[time_.between(0, agent_count - 1)].endpoint->restart();
        break;
    case 5:
        is_store_up_ = !is_store_up_;
        break;
    default:
        change_service();
    }
}

void fleet::break_link()
{
    std::vector<connection_ptr> links;
    for (const entry_node& entry : entries_) {
        for (const auto& [id, link] : entry.links) {
            links.push_back(link);
        }
    }
    if (links.empty()) {
        return;
    }
    const connection_ptr link = links.at(time_.between(0, links.size() - 1));
    switch (time_.between(0, 2)) {
    case 0:
        trace("cut");
        cut(link);
        break;
    case 1:
        trace("silence");
        link->is_silent = true;
        break;
    default:
        trace("stall");
        link->stalled_until = time_.now() + time_.time(100000, 8000000);
    }
}

void fleet::break_process()
{
    const std::size_t entry = time_.between(0, entry_count - 1);
    const std::size_t agent = time_.between(0, agent_count - 1);
    switch (time_.between(0, 4)) {
    case 0:
        start_entry(entry);
        break;
    case 1:
        start_agent(agent);
        break;
    case 2:
        feed(entries_[entry], stop_event{time_.once_in(4)});
        break;
    case 3:
        feed(agents_[agent], stop_event{time_.once_in(4)});
        break;
    default:
        agents_[agent].state = member_state::leaving;
    }
}

void fleet::change_service()
{
    out_of_service out;
    if (time_.once_in(3)) {
        out.failure_domains.insert(domain_of(time_.between(0, 1)));
    }
    else if (time_.once_in(2)) {
        out.instances.insert(agents_[time_.between(0, agent_count - 1)].identity.name);
    }
    apply(out);
}

void fleet::heal()
{
    is_faulty_ = false;
    is_store_up_ = true;
    apply({});
    for (agent_node& it : agents_) {
        it.endpoint->is_faulty = false;
    }
}

} // namespace hemlocknotch::fuzz
