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

/// Returns the latest time at which a request should be next in its account: its deadline, or its arrival
/// plus the wait that its urgency allows, whichever is earlier. Serving by this time is earliest deadline
/// first (Liu and Layland, "Scheduling Algorithms for Multiprogramming in a Hard-Real-Time Environment", JACM
/// 1973). Bound: a slow request is passed only by requests that arrive less than `slow_wait` after it.
instant service_target(const entry_request& value);

inline constexpr duration prompt_wait = std::chrono::seconds{1};
inline constexpr duration normal_wait = std::chrono::seconds{5};
inline constexpr duration slow_wait = std::chrono::seconds{20};

/// The requests of one service that may be dispatched, by client account, in the order of their service
/// targets. Holds pointers: a request must be taken out before it is destroyed.
class waiting_queue {
public:
    /// Requests at the head of an account among which a cached prefix is preferred.
    static constexpr std::size_t reorder_window = 8;
    /// Times that one request may be passed over for a cached prefix.
    static constexpr std::uint32_t max_times_passed_over = 8;

    /// Takes in a request.
    void add(entry_request& value);

    /// Takes out a request. Precondition: it is in.
    void remove(entry_request& value);

    /// Returns the request of `client_account` that fits best an agent that has cached `prefixes`; null where
    /// none waits. Counts the requests that it is preferred to as passed over.
    entry_request* choose(account_key client_account, std::span<const std::uint64_t> prefixes);

    /// Returns the first request of `client_account` in order, or null.
    [[nodiscard]] const entry_request* first_of(account_key client_account) const;

    /// Returns the number of waiting requests of `client_account`.
    [[nodiscard]] std::size_t count_of(account_key client_account) const;

    /// Returns when the oldest waiting request of `client_account` arrived. Precondition: one waits.
    [[nodiscard]] instant oldest_arrival(account_key client_account) const;

    /// Returns the accounts that have waiting requests.
    [[nodiscard]] std::vector<account_key> backlogged() const;

    [[nodiscard]] bool empty() const { return accounts_.empty(); }

    /// Returns a number that rises with each change of the queue.
    [[nodiscard]] std::uint64_t version() const { return version_; }

    /// Returns the accounts whose requests have changed since the queue had `version`.
    [[nodiscard]] std::vector<account_key> changed_since(std::uint64_t version) const;

private:
    using key = std::pair<instant, request_id>;

    struct account_queue {
        std::map<key, entry_request*> by_target;
        std::set<key> by_arrival;
    };

    void note_change(account_key client_account);

    std::map<account_key, account_queue> accounts_;
    std::uint64_t version_ = 1;
    /// Last change of each account, both ways.
    std::unordered_map<account_key, std::uint64_t> changed_at_;
    std::map<std::uint64_t, account_key> changes_;
};

} // namespace hemlocknotch
