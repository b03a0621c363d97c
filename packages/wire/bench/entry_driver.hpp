#pragma once

#include <hemlocknotch/core/entry_reducer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::bench {

/// A real entry's decisions, with callers and agents played by the bench.
class entry_driver {
public:
    static constexpr const char* service = "model";

    /// Makes an entry with a configuration of `account_count` client accounts and a link to each of
    /// `agent_count` agents.
    entry_driver(std::size_t account_count, std::size_t agent_count);

    /// Lets agent `link` tell what it has served `account_count` accounts.
    void report_service(link_id link, std::size_t account_count);

    /// Lets a caller of account `account` send a request with `body_bytes`. Returns the submit that goes out,
    /// or a default one where the request waits.
    submit_message call(std::size_t account, std::size_t body_bytes);

    /// Plays the agent's whole answer to `submitted`, of `parts` parts.
    void answer(const submit_message& submitted, std::size_t parts);

    /// Lets agent `link` advertise room.
    void give_room(link_id link, std::uint32_t free_slots);

    /// Hands in a message from agent `link`.
    void tell(link_id link, message content);

    /// Lets time pass to the next tick.
    void pass(duration time);

private:
    template <class Content>
    std::vector<entry_effect> hand_in(Content content)
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
