#include "endpoint_pool.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

/// Time for which connections are used once after a failure without an id: as long as an endpoint may be full
/// or in trouble, so that few calls meet one on a connection that has carried others.
constexpr duration single_use_time = std::chrono::seconds{60};

} // namespace

endpoint_pool::endpoint_pool(event_base* base, const gateway::message_dialect& dialect,
                             endpoint_answer_sink& sink, gateway::answer_memory& memory,
                             std::function<instant()> now)
    : base_{base},
      dialect_{dialect},
      sink_{sink},
      memory_{memory},
      now_{std::move(now)},
      deferred_{base, [this] { run_deferred(); }, event_priority::request}
{
}

endpoint_pool::~endpoint_pool() = default;

void endpoint_pool::start(const gateway::call_start& start)
{
    auto* connection = acquire_idle(start);
    if (connection == nullptr) {
        connection = open(start);
    }
    if (connection == nullptr) {
        unstarted_calls_.push_back(start.call);
        deferred_.activate();
        return;
    }
    calls_.emplace(start.call, connection);
    connection->send(start);
}

endpoint_connection* endpoint_pool::acquire_idle(const gateway::call_start& start)
{
    if (!is_kept_open(start.address)) {
        return nullptr;
    }
    for (auto* it = find_idle(start); it != nullptr; it = find_idle(start)) {
        if (!it->is_quiet()) {
            // What has arrived belongs to no request.
            it->close();
            continue;
        }
        auto& list = by_address_[start.address];
        std::erase(list, it);
        list.push_back(it);
        return it;
    }
    return nullptr;
}

endpoint_connection* endpoint_pool::find_idle(const gateway::call_start& start) const
{
    const auto found = by_address_.find(start.address);
    if (found == by_address_.end()) {
        return nullptr;
    }
    // The endpoint is least likely to have closed the connection that was used last.
    const auto now = now_();
    const auto& list = found->second;
    const auto it = std::find_if(list.rbegin(), list.rend(), [&](const endpoint_connection* connection) {
        return connection->is_reusable(now, start);
    });
    return it == list.rend() ? nullptr : *it;
}

bool endpoint_pool::is_kept_open(const endpoint_address& address) const
{
    const auto found = single_use_until_.find(address);
    return found == single_use_until_.end() || now_() >= found->second;
}

endpoint_connection* endpoint_pool::open(const gateway::call_start& start)
{
    if (const auto& open = by_address_[start.address];
        start.max_connections > 0 && open.size() >= start.max_connections) {
        // An idle connection that this call cannot reuse would only take the place of a new one.
        const auto idle = std::ranges::find_if(open, &endpoint_connection::is_idle);
        if (idle == open.end()) {
            return nullptr;
        }
        (*idle)->close();
    }
    auto& list = by_address_[start.address];
    auto created =
        std::make_unique<endpoint_connection>(base_, start.address, dialect_, sink_, *this, memory_);
    if (!created->is_open()) {
        return nullptr;
    }
    ++opened_count_;
    auto* connection = created.get();
    list.push_back(connection);
    connections_.emplace(connection, std::move(created));
    return connection;
}

void endpoint_pool::cancel(gateway::call_id call)
{
    std::erase(unstarted_calls_, call);
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    auto* connection = found->second;
    calls_.erase(found);
    connection->close();
}

bool endpoint_pool::recall(gateway::call_id call)
{
    if (std::erase(unstarted_calls_, call) > 0) {
        return true;
    }
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second->is_connected()) {
        return false;
    }
    cancel(call);
    return true;
}

void endpoint_pool::pause(gateway::call_id call)
{
    if (const auto found = calls_.find(call); found != calls_.end()) {
        found->second->pause();
    }
}

void endpoint_pool::resume(gateway::call_id call)
{
    if (const auto found = calls_.find(call); found != calls_.end()) {
        found->second->resume();
    }
}

void endpoint_pool::on_answer_without_id(endpoint_connection& connection)
{
    const auto now = now_();
    std::erase_if(single_use_until_, [&](const auto& it) { return it.second <= now; });
    single_use_until_[connection.address()] = now + single_use_time;
    const auto open = by_address_[connection.address()];
    for (auto* it : open) {
        if (it->is_idle()) {
            it->close();
        }
    }
}

void endpoint_pool::on_call_done(endpoint_connection& connection)
{
    if (!is_kept_open(connection.address())) {
        return connection.close();
    }
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
    deferred_.activate();
}

void endpoint_pool::run_deferred()
{
    closed_.clear();
    for (const auto call : std::exchange(unstarted_calls_, {})) {
        sink_.on_end(call, gateway::call_outcome::not_connected);
    }
}

} // namespace hemlocknotch::daemon
