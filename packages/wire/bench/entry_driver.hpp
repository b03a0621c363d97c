#pragma once

#include <hemlocknotch/core/entry_reducer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::bench {

/// Drives the reducer of an entry; the benchmark acts as its callers and agents.
class entry_driver {
public:
    static constexpr const char* service = "model";

    /// Creates an entry with a configuration of `account_count` client accounts and a link to each of
    /// `agent_count` agents.
    entry_driver(std::size_t account_count, std::size_t agent_count);

    /// Delivers a service report from agent `link` about `account_count` accounts.
    void report_service(link_id link, std::size_t account_count);

    /// Passes in a caller's request of account number `account` with a body of `body_bytes`. Returns the
    /// submit that the entry sends, or a default-constructed one if the request waits.
    submit_message request(std::size_t account, std::size_t body_bytes);

    /// Delivers an agent's complete answer to `submitted`, in `parts` parts.
    void answer(const submit_message& submitted, std::size_t parts);

    /// Delivers an advertisement of `free_slots` from agent `link`.
    void advertise_slots(link_id link, std::uint32_t free_slots);

    /// Delivers a message from agent `link`.
    void deliver(link_id link, message content);

    /// Advances the clock by `time` and then passes in a tick.
    void advance(duration time);

private:
    template <class Content>
    std::vector<entry_effect> handle_event(Content content)
    {
        ++entropy_;
        return reducer_.reduce({now_, entropy_, std::move(content)});
    }

    entry_reducer reducer_;
    instant now_{};
    std::uint64_t entropy_ = 0;
    exchange_id last_exchange_ = 0;
    std::uint64_t report_sequence_ = 0;
};

} // namespace hemlocknotch::bench
