#include "endpoint_pool.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {

endpoint_pool::endpoint_pool(event_base* base, const gateway::message_dialect& dialect,
                             endpoint_answer_sink& sink, std::function<instant()> now)
    : base_{base}, dialect_{dialect}, sink_{sink}, now_{std::move(now)}, reaper_{base, [this] { reap(); }}
{
}

endpoint_pool::~endpoint_pool() = default;

void endpoint_pool::start(const gateway::call_start& start)
{
    auto* connection = take_idle(start);
    if (connection == nullptr) {
        connection = open(start);
    }
    if (connection == nullptr) {
        unstarted_.push_back(start.call);
        reaper_.activate();
        return;
    }
    calls_.emplace(start.call, connection);
    connection->send(start);
}

endpoint_connection* endpoint_pool::take_idle(const gateway::call_start& start)
{
    const auto found = by_address_.find(start.address);
    if (found == by_address_.end()) {
        return nullptr;
    }
    // The last one used is the least likely to have been given up by the endpoint.
    auto& list = found->second;
    const auto now = now_();
    for (auto it = list.rbegin(); it != list.rend(); ++it) {
        if ((*it)->is_fresh(now, start.is_unrepeatable)) {
            auto* connection = *it;
            list.erase(std::next(it).base());
            list.push_back(connection);
            return connection;
        }
    }
    return nullptr;
}

endpoint_connection* endpoint_pool::open(const gateway::call_start& start)
{
    auto& list = by_address_[start.address];
    if (start.max_connections > 0 && list.size() >= start.max_connections) {
        return nullptr;
    }
    auto made = std::make_unique<endpoint_connection>(base_, start.address, dialect_, sink_, *this);
    if (!made->is_open()) {
        return nullptr;
    }
    ++opened_;
    auto* connection = made.get();
    list.push_back(connection);
    connections_.emplace(connection, std::move(made));
    return connection;
}

void endpoint_pool::cancel(gateway::call_id call)
{
    std::erase(unstarted_, call);
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    auto* connection = found->second;
    calls_.erase(found);
    connection->close();
}

void endpoint_pool::on_call_done(endpoint_connection& connection)
{
    calls_.erase(connection.last_call());
    auto& list = by_address_[connection.address()];
    std::erase(list, &connection);
    list.push_back(&connection);
}

void endpoint_pool::on_closed(endpoint_connection& connection)
{
    calls_.erase(connection.last_call());
    const auto list = by_address_.find(connection.address());
    assert(list != by_address_.end());
    std::erase(list->second, &connection);
    if (list->second.empty()) {
        by_address_.erase(list);
    }
    const auto it = connections_.find(&connection);
    assert(it != connections_.end());
    closed_.push_back(std::move(it->second));
    connections_.erase(it);
    reaper_.activate();
}

void endpoint_pool::reap()
{
    closed_.clear();
    for (const auto call : std::exchange(unstarted_, {})) {
        sink_.on_end(call, gateway::call_outcome::not_connected);
    }
}

} // namespace hemlocknotch::daemon
