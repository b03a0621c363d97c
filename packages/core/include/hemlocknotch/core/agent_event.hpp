#pragma once

#include <hemlocknotch/core/entry_event.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Everything that an agent can learn.
namespace hemlocknotch {

/// An entry has opened a link to this agent. Its hello follows as a message.
struct link_accepted_event {
    link_id link = 0;
};

/// The endpoint has answered a call with status and headers.
struct endpoint_head_event {
    call_id call = 0;
    std::uint32_t status = 200;
    std::vector<header_field> headers;
    /// Incarnation that the endpoint states, 0 where it states none.
    std::uint64_t incarnation = 0;
};

/// The endpoint has sent bytes of an answer's body.
struct endpoint_part_event {
    call_id call = 0;
    std::string bytes;
};

/// How a call to the endpoint ended.
enum class call_outcome : std::uint8_t {
    /// The answer is whole.
    complete,
    /// The endpoint did not take the call: no connection came about, or it answered that it did not run it.
    not_started,
    /// The connection broke after bytes had been sent. The request may have run.
    broken,
};

/// A call to the endpoint has ended.
struct endpoint_end_event {
    call_id call = 0;
    call_outcome outcome = call_outcome::complete;
};

/// What the endpoint's health page says, late; or that it gave no answer.
struct endpoint_health_event {
    bool is_reached = false;
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
};

/// Prompt beginnings that the endpoint has cached, as its late and incomplete cache events tell.
struct endpoint_cache_event {
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

/// One event, with the time at which it was observed and 64 random bits.
struct agent_event {
    instant now;
    std::uint64_t entropy = 0;
    std::variant<link_accepted_event, link_closed_event, link_message_event, endpoint_head_event,
                 endpoint_part_event, endpoint_end_event, endpoint_health_event, endpoint_cache_event,
                 members_event, configuration_event, store_contact_event, tick_event, stop_event>
        content;
};

} // namespace hemlocknotch
