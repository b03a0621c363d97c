#pragma once

#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/entry_event.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlocknotch {

/// Weighted service counter of one client account for one service, as known to this process.
struct service_counter {
    account_key service;
    account_key client_account;
    double counter = 0.0;
};

/// Summary of the state of an entry process.
struct entry_status {
    std::uint64_t revision = 0;
    bool is_ready = false;
    bool is_draining = false;
    /// Links on which the agent's hello has been received.
    std::size_t links = 0;
    /// Requests that are not dispatched, including those waiting for a retry.
    std::size_t waiting = 0;
    /// Requests that have been dispatched and have not ended.
    std::size_t outstanding = 0;
    /// Bytes of request bodies held.
    std::size_t held_bytes = 0;
    std::vector<service_counter> counters;
};

/// State of an entry process. Owned and driven by `entry_reducer`. Not thread-safe.
class entry_state {
public:
    entry_state() = default;
    virtual ~entry_state() = default;
    entry_state(const entry_state&) = delete;
    entry_state& operator=(const entry_state&) = delete;
    entry_state(entry_state&&) = delete;
    entry_state& operator=(entry_state&&) = delete;

    /// Handles one event and returns its effects in the order in which to carry them out.
    virtual std::vector<entry_effect> reduce(const entry_event& event) = 0;

    /// Returns a summary of the state.
    [[nodiscard]] virtual entry_status status() const = 0;
};

} // namespace hemlocknotch
