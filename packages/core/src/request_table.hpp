#pragma once

#include "entry_request.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// All requests that an entry process holds, indexed by id, caller's exchange, agent and timer. Maintains the
/// counts that limits apply to.
class request_table {
public:
    /// Adds a new request. Precondition: no request in the table has the same id or the same exchange.
    entry_request& add(std::unique_ptr<entry_request> value);

    /// Returns the request with `id`, or null.
    [[nodiscard]] entry_request* find(const request_id& id);

    /// Returns the request of a caller's exchange, or null.
    [[nodiscard]] entry_request* find_exchange(exchange_id exchange);

    /// Removes a request.
    void erase(entry_request& value);

    /// Changes the state of a request. Precondition: `agent` is set before a move to an outstanding state.
    void set_state(entry_request& value, request_state state);

    /// Sets the time at which the request's timer expires.
    void set_timer(entry_request& value, instant at);

    /// Returns the request whose timer expired first, or null if none has expired.
    [[nodiscard]] entry_request* first_due(instant now);

    /// Returns when the next timer expires; nothing if there are no requests.
    [[nodiscard]] std::optional<instant> next_timer() const;

    /// Frees the body of a request that will not be dispatched again.
    void release_body(entry_request& value);

    /// Detaches a request from its caller, which has disconnected.
    void detach_caller(entry_request& value);

    /// Returns the ids of requests dispatched to the agent called `name` that have not ended.
    [[nodiscard]] std::vector<request_id> outstanding_at(std::string_view name) const;

    /// Returns whether any request dispatched to the agent called `name` has not ended.
    [[nodiscard]] bool has_outstanding_at(std::string_view name) const;

    /// Returns the ids of all requests.
    [[nodiscard]] std::vector<request_id> ids() const;

    /// Returns the number of all requests, of those not dispatched, and of those not dispatched of one client
    /// account.
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

    [[nodiscard]] std::size_t waiting() const { return waiting_; }

    [[nodiscard]] std::size_t waiting_of(account_key client_account) const;

    /// Returns the bytes of request bodies held.
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }

private:
    void add_to_state_index(entry_request& value);
    void remove_from_state_index(entry_request& value);

    std::unordered_map<request_id, std::unique_ptr<entry_request>> requests_;
    std::unordered_map<exchange_id, request_id> exchanges_;
    std::unordered_map<account_key, std::size_t> waiting_by_account_;
    std::map<std::string, std::set<request_id>, std::less<>> outstanding_;
    std::set<std::pair<instant, request_id>> timers_;
    std::size_t waiting_ = 0;
    std::size_t held_bytes_ = 0;
};

} // namespace hemlocknotch
