#pragma once

#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/member.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/request_id.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events: everything that the reducer of an entry process is informed of.
namespace hemlocknotch {

/// A caller has sent a complete request.
struct caller_request_event {
    exchange_id exchange = 0;
    std::string client_account;
    std::string profile;
    /// Empty where the caller sent none.
    std::string idempotency_key;
    std::optional<double> cost_hint;
    std::optional<duration> deadline;
    /// Hash of the beginning of the prompt; 0 if there is none.
    std::uint64_t prefix = 0;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    std::string traceparent;
};

/// A caller has closed its connection before its answer was complete.
struct caller_disconnected_event {
    exchange_id exchange = 0;
};

/// `sent_bytes` bytes of the answer's body have been written to the caller's connection so far.
struct caller_progress_event {
    exchange_id exchange = 0;
    std::uint64_t sent_bytes = 0;
};

/// The connection requested by `open_link_effect` is established.
struct link_opened_event {
    link_id link = 0;
    endpoint_address address;
};

/// A link has closed or could not be opened. No further events refer to it.
struct link_closed_event {
    link_id link = 0;
    std::string reason;
};

/// A message has been received on a link.
struct link_message_event {
    link_id link = 0;
    message content;
};

/// The current content of the platform's instance list.
struct members_event {
    std::vector<member> members;
};

/// Result of claiming an idempotency key.
enum class claim_outcome : std::uint8_t {
    /// The claim succeeded: this request is the only one that may run with the key.
    won,
    /// Another request holds the key and may be running or has run.
    held_by_other,
    /// The key-value service did not answer in time. It is unknown whether the claim was written; it is
    /// abandoned.
    unavailable,
};

/// Answer to `claim_key_effect`.
struct claim_result_event {
    request_id id;
    claim_outcome outcome = claim_outcome::unavailable;
};

/// A configuration from the key-value service or a link has been parsed and validated.
struct configuration_event {
    configuration_ptr accepted;
};

/// A call to the key-value service has ended. Used to detect that this process is cut off from the system.
struct store_contact_event {
    bool is_reached = false;
};

/// Time has passed. The shell sends one at the time given by `schedule_tick_effect`.
struct tick_event {};

/// The process has been asked to stop: finish accepted requests and accept no new ones. With `is_immediate`,
/// end all requests now, each with its correct verdict.
struct stop_event {
    bool is_immediate = false;
};

/// An event with the time at which it was observed and 64 random bits.
struct entry_event {
    instant now;
    std::uint64_t entropy = 0;
    std::variant<caller_request_event, caller_disconnected_event, caller_progress_event, link_opened_event,
                 link_closed_event, link_message_event, members_event, claim_result_event,
                 configuration_event, store_contact_event, tick_event, stop_event>
        content;
};

} // namespace hemlocknotch
