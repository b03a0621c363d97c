#pragma once

#include <hemlocknotch/core/entry_event.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The events that an agent's reducer takes.
namespace hemlocknotch {

/// An entry process has opened a link to this agent. The hello of the entry follows as a message.
struct link_accepted_event {
    link_id link = 0;
};

/// The endpoint has answered a call with status and headers.
struct endpoint_head_event {
    call_id call = 0;
    std::uint32_t status = 200;
    std::vector<header_field> headers;
    /// Incarnation that the endpoint reports; 0 if it reports none.
    std::uint64_t incarnation = 0;
};

/// The endpoint has sent bytes of an answer's body.
struct endpoint_part_event {
    call_id call = 0;
    std::string bytes;
};

/// How a call to the endpoint ended.
enum class call_outcome : std::uint8_t {
    /// The answer is complete.
    complete,
    /// The endpoint did not accept the call: the connection could not be opened, or the endpoint answered
    /// that it did not run the request.
    not_started,
    /// The connection failed after bytes had been sent. The request may have run.
    broken,
};

/// A call to the endpoint has ended.
struct endpoint_end_event {
    call_id call = 0;
    call_outcome outcome = call_outcome::complete;
};

/// Result of a request for the endpoint's health page. The page may lag behind the endpoint's state. Without
/// `is_reached` the endpoint did not answer and the other members are not set.
struct endpoint_health_event {
    bool is_reached = false;
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
};

/// Hashes of prompt prefixes that the endpoint has added to its cache or removed from it. The endpoint's
/// cache events are delayed and may be incomplete.
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
