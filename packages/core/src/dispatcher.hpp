#pragma once

#include "entry_data.hpp"
#include "entry_step.hpp"

namespace hemlocknotch {

/// Sends requests to agents: immediately if an agent has advertised a free slot, otherwise when an agent
/// grants one.
class dispatcher {
public:
    /// Maximum delay before a refused request is dispatched again.
    static constexpr duration max_backoff = std::chrono::seconds{1};

    explicit dispatcher(entry_data& data) : data_{data} {}

    /// Adds a request to its queue and dispatches it immediately if an agent has a free slot. Precondition:
    /// the request is not waiting.
    void enqueue(entry_step& step, entry_request& value);

    /// Schedules a request to be dispatched after a jittered delay that grows with `n`.
    void delay(entry_step& step, entry_request& value, unsigned n);

    /// Uses a grant for the waiting request that fits best, or declines the grant if there is none or no
    /// work may be sent to the agent.
    void on_grant(entry_step& step, outgoing_link& link, const grant_message& value);

    /// Handles an advertised number of free slots and uses them for waiting requests.
    void on_free_slots(entry_step& step, outgoing_link& link, const free_slots_message& value);

private:
    void submit(entry_step& step, entry_request& value, outgoing_link& link, std::uint64_t grant);
    void enqueue_pinned(entry_step& step, entry_request& value);
    [[nodiscard]] outgoing_link* choose_agent(entry_step& step, const entry_request& value);
    [[nodiscard]] entry_request* least_served(account_key service, const outgoing_link& link);

    entry_data& data_;
};

} // namespace hemlocknotch
