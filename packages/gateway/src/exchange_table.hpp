#pragma once

#include "exchange.hpp"

#include <cstddef>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {

/// The requests that have not ended, and when each is to be looked at. Used by one thread at a time.
class exchange_table {
public:
    /// Adds a request. Precondition: its id is not in use.
    exchange& add(std::unique_ptr<exchange> it);

    /// Returns the request `id`; null where it has ended.
    exchange* find(exchange_id id);

    /// Asks for `it` to be looked at; goes with the request.
    void add_deadline(const exchange& it, instant at);

    /// Returns the requests that are to be looked at by `now`, each once for each of its deadlines that are
    /// over, and forgets these deadlines. Some may have ended since they were added.
    std::vector<exchange_id> take_due(instant now);

    /// Returns the earliest deadline; `instant::max()` where there is none.
    [[nodiscard]] instant next_deadline() const;

    /// Forgets a request. Precondition: it has no call under way.
    void erase(exchange_id id);

    [[nodiscard]] std::size_t size() const { return exchanges_.size(); }

private:
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> exchanges_;
    std::set<std::pair<instant, exchange_id>> deadlines_;
};

} // namespace hemlocknotch::gateway
