#include "fleet.hpp"
#include "fleet_size.hpp"

namespace hemlocknotch::fuzz {

void fleet::inject_fault()
{
    if (!is_faulty_) {
        return;
    }
    timeline_.after(timeline_.random_duration(1000, 1000000), [this] { inject_fault(); });
    switch (timeline_.random_between(0, 7)) {
    case 0:
    case 1:
    case 2:
        inject_link_fault();
        break;
    case 3:
        inject_process_fault();
        break;
    case 4:
        agents_[timeline_.random_between(0, agent_count - 1)].endpoint->restart();
        break;
    case 5:
        is_store_up_ = !is_store_up_;
        break;
    default:
        change_out_of_service();
    }
}

void fleet::inject_link_fault()
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
    const connection_ptr link = links.at(timeline_.random_between(0, links.size() - 1));
    switch (timeline_.random_between(0, 2)) {
    case 0:
        trace("cut");
        disconnect(link);
        break;
    case 1:
        trace("silence");
        link->is_dropping = true;
        break;
    default:
        trace("stall");
        link->stalled_until = timeline_.now() + timeline_.random_duration(100000, 8000000);
    }
}

void fleet::inject_process_fault()
{
    const std::size_t entry = timeline_.random_between(0, entry_count - 1);
    const std::size_t agent = timeline_.random_between(0, agent_count - 1);
    switch (timeline_.random_between(0, 4)) {
    case 0:
        start_entry(entry);
        break;
    case 1:
        start_agent(agent);
        break;
    case 2:
        feed(entries_[entry], stop_event{timeline_.one_in(4)});
        break;
    case 3:
        feed(agents_[agent], stop_event{timeline_.one_in(4)});
        break;
    default:
        agents_[agent].state = member_state::leaving;
    }
}

void fleet::change_out_of_service()
{
    out_of_service out;
    if (timeline_.one_in(3)) {
        out.failure_domains.insert(domain_of(timeline_.random_between(0, 1)));
    }
    else if (timeline_.one_in(2)) {
        out.instances.insert(agents_[timeline_.random_between(0, agent_count - 1)].identity.name);
    }
    publish_configuration(out);
}

void fleet::clear_faults()
{
    is_faulty_ = false;
    is_store_up_ = true;
    publish_configuration({});
    for (agent_node& it : agents_) {
        it.endpoint->is_faulty = false;
    }
}

} // namespace hemlocknotch::fuzz
