#pragma once

#include "entry_request.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// Returns the time by which a request should be dispatched: its deadline, or its arrival plus the wait that
/// its urgency allows, whichever is earlier. Dispatching the requests of an account in the order of this time
/// is earliest deadline first scheduling (Liu and Layland, "Scheduling Algorithms for Multiprogramming in a
/// Hard-Real-Time Environment", JACM 1973). Bound: a slow request is overtaken only by requests that arrive
/// less than `slow_wait` after it.
instant service_target(const entry_request& value);

inline constexpr duration prompt_wait = std::chrono::seconds{1};
inline constexpr duration normal_wait = std::chrono::seconds{5};
inline constexpr duration slow_wait = std::chrono::seconds{20};

/// The requests of one service that may be dispatched, by client account and in the order of
/// `service_target`. Stores pointers: a request must be removed before it is destroyed.
class waiting_queue {
public:
    /// Number of requests at the head of an account's queue among which one with a cached prefix is
    /// preferred.
    static constexpr std::size_t reorder_window = 8;
    /// Number of times that a request may be passed over for one with a cached prefix.
    static constexpr std::uint32_t max_times_passed_over = 8;

    /// Adds a request.
    void add(entry_request& value);

    /// Removes a request. Precondition: it is in the queue.
    void remove(entry_request& value);

    /// Returns the request of `client_account` that best fits an agent that has cached `prefixes`; null if
    /// none waits. Counts the requests ahead of it as passed over.
    entry_request* choose(account_key client_account, std::span<const std::uint64_t> prefixes);

    /// Returns the request of `client_account` with the earliest `service_target`, or null if none waits.
    [[nodiscard]] const entry_request* first_of(account_key client_account) const;

    /// Returns the number of waiting requests of `client_account`.
    [[nodiscard]] std::size_t count_of(account_key client_account) const;

    /// Returns when the oldest waiting request of `client_account` arrived. Precondition: the
    /// account has a waiting request.
    [[nodiscard]] instant oldest_arrival(account_key client_account) const;

    /// Returns the accounts that have waiting requests.
    [[nodiscard]] std::vector<account_key> backlogged() const;

    [[nodiscard]] bool empty() const { return accounts_.empty(); }

    /// Returns a number that increases with each change of the queue.
    [[nodiscard]] std::uint64_t version() const { return version_; }

    /// Returns the accounts whose requests have changed since the queue had `version`.
    [[nodiscard]] std::vector<account_key> changed_since(std::uint64_t version) const;

private:
    using key = std::pair<instant, request_id>;

    struct account_queue {
        std::map<key, entry_request*> by_target;
        std::set<key> by_arrival;
    };

    void record_change(account_key client_account);

    std::map<account_key, account_queue> accounts_;
    std::uint64_t version_ = 1;
    /// Version of each account's last change, and the reverse index.
    std::unordered_map<account_key, std::uint64_t> changed_at_;
    std::map<std::uint64_t, account_key> changes_;
};

} // namespace hemlocknotch
