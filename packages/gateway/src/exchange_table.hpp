#pragma once

#include "exchange.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {

/// The open requests and their deadlines. Used by one thread at a time.
class exchange_table {
public:
    /// Adds a request. Precondition: its id is not in use.
    exchange& add(std::unique_ptr<exchange> it);

    /// Returns the request `id`; null if it has ended.
    exchange* find(exchange_id id);

    /// Returns the requests for which `matches` returns true.
    [[nodiscard]] std::vector<exchange_id> find_all(const std::function<bool(exchange&)>& matches) const;

    /// Adds a deadline for `it`. It is removed together with the request.
    void add_deadline(const exchange& it, instant at);

    /// Removes all deadlines up to `now` and returns their requests, one element per deadline. Some of the
    /// requests may end before the caller gets to them.
    std::vector<exchange_id> take_due(instant now);

    /// Returns the earliest deadline; `instant::max()` if there is none.
    [[nodiscard]] instant next_deadline() const;

    /// Removes a request. Precondition: it has no open call.
    void erase(exchange_id id);

    [[nodiscard]] std::size_t size() const { return exchanges_.size(); }

private:
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> exchanges_;
    std::set<std::pair<instant, exchange_id>> deadlines_;
};

} // namespace hemlocknotch::gateway
