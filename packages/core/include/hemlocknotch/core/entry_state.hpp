#pragma once

#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/entry_event.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlocknotch {

/// Weighted service of one client account of one service, as far as this process knows.
struct service_counter {
    account_key service;
    account_key client_account;
    double counter = 0.0;
};

/// What an entry knows, in figures.
struct entry_status {
    std::uint64_t revision = 0;
    bool is_ready = false;
    bool is_draining = false;
    /// Links on which the agent has said hello.
    std::size_t links = 0;
    /// Requests that have not been dispatched, those waiting before a retry included.
    std::size_t waiting = 0;
    /// Requests that have been dispatched and not ended.
    std::size_t outstanding = 0;
    /// Bytes of request bodies held.
    std::size_t held_bytes = 0;
    std::vector<service_counter> counters;
};

/// What an entry knows. Owned and driven by `entry_reducer`. Not safe for use by two threads at once.
class entry_state {
public:
    entry_state() = default;
    virtual ~entry_state() = default;
    entry_state(const entry_state&) = delete;
    entry_state& operator=(const entry_state&) = delete;
    entry_state(entry_state&&) = delete;
    entry_state& operator=(entry_state&&) = delete;

    /// Takes in one event and returns what is to be done, in order.
    virtual std::vector<entry_effect> reduce(const entry_event& event) = 0;

    /// Returns the state in figures.
    [[nodiscard]] virtual entry_status status() const = 0;
};

} // namespace hemlocknotch
