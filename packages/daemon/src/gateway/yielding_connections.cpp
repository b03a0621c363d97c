#include "yielding_connections.hpp"

namespace hemlocknotch::daemon {

std::list<caller_connection*>& yielding_connections::of(yielding_phase phase)
{
    return connections_.at(static_cast<std::size_t>(phase));
}

void yielding_connections::set(caller_connection& it, yielding_phase phase)
{
    auto& list = of(phase);
    const auto known = positions_.find(&it);
    if (known == positions_.end()) {
        positions_.emplace(&it, position{phase, list.insert(list.end(), &it)});
        return;
    }
    list.splice(list.end(), of(known->second.phase), known->second.at);
    known->second.phase = phase;
}

void yielding_connections::remove(caller_connection& it)
{
    if (const auto known = positions_.find(&it); known != positions_.end()) {
        of(known->second.phase).erase(known->second.at);
        positions_.erase(known);
    }
}

caller_connection* yielding_connections::next() const
{
    for (const auto& it : connections_) {
        if (!it.empty()) {
            return it.front();
        }
    }
    return nullptr;
}

} // namespace hemlocknotch::daemon
