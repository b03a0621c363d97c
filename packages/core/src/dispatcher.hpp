#pragma once

#include "entry_data.hpp"
#include "entry_step.hpp"

namespace hemlocknotch {

/// Sends requests to agents: at once where an agent has room, otherwise when an agent grants a place.
class dispatcher {
public:
    /// Refusals after which a request waits for this long before it is sent again, at the most.
    static constexpr duration max_backoff = std::chrono::seconds{1};

    explicit dispatcher(entry_data& data) : data_{data} {}

    /// Makes a request ready to be dispatched and dispatches it where there is room. Precondition: it is not
    /// waiting.
    void enqueue(entry_step& step, entry_request& value);

    /// Makes a request wait for a jittered time that grows with `n`, and be dispatched then.
    void delay(entry_step& step, entry_request& value, unsigned n);

    /// Answers a grant with the request that fits best, or declines it.
    void on_grant(entry_step& step, outgoing_link& link, const grant_message& value);

    /// Takes in advertised room and uses it for what waits.
    void on_room(entry_step& step, outgoing_link& link, const free_slots_message& value);

private:
    void submit(entry_step& step, entry_request& value, outgoing_link& link, std::uint64_t grant);
    void enqueue_pinned(entry_step& step, entry_request& value);
    [[nodiscard]] outgoing_link* choose_agent(entry_step& step, const entry_request& value);
    [[nodiscard]] entry_request* least_served(account_key service, const outgoing_link& link);

    entry_data& data_;
};

} // namespace hemlocknotch
