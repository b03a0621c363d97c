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

/// Everything that an entry can learn.
namespace hemlocknotch {

/// A caller has sent a whole request.
struct caller_request_event {
    exchange_id exchange = 0;
    std::string client_account;
    std::string profile;
    /// Empty where the caller sent none.
    std::string idempotency_key;
    std::optional<double> cost_hint;
    std::optional<duration> deadline;
    /// Hash of the prompt's beginning, 0 where there is none.
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

/// The caller's connection has taken `sent_bytes` of the answer's body in all.
struct caller_progress_event {
    exchange_id exchange = 0;
    std::uint64_t sent_bytes = 0;
};

/// The connection asked for by `open_link_effect` stands.
struct link_opened_event {
    link_id link = 0;
    endpoint_address address;
};

/// A link has ended, or could not be opened. Nothing more comes from it.
struct link_closed_event {
    link_id link = 0;
    std::string reason;
};

/// A message has come on a link.
struct link_message_event {
    link_id link = 0;
    message content;
};

/// What the platform's instance list says now.
struct members_event {
    std::vector<member> members;
};

/// How a claim on an idempotency key ended.
enum class claim_outcome : std::uint8_t {
    /// The claim holds: this request is the only one that may run under the key.
    won,
    /// Another request holds the key and may run or has run.
    held_by_other,
    /// The key-value service gave no answer in time. It is unknown whether the claim was written; the claim
    /// is
    /// given up.
    unavailable,
};

/// Answer to `claim_key_effect`.
struct claim_result_event {
    request_id id;
    claim_outcome outcome = claim_outcome::unavailable;
};

/// A configuration has been read, from the key-value service or a link, and passed its check.
struct configuration_event {
    configuration_ptr accepted;
};

/// A call to the key-value service has ended; used by the rule for processes that are out of reach.
struct store_contact_event {
    bool is_reached = false;
};

/// Time has passed. The shell sends one whenever the time of `schedule_tick_effect` has come.
struct tick_event {};

/// The process has been asked to stop: finish what was accepted, take nothing new. With `is_immediate`, end
/// everything now with true verdicts.
struct stop_event {
    bool is_immediate = false;
};

/// One event, with the time at which it was observed and 64 random bits.
struct entry_event {
    instant now;
    std::uint64_t entropy = 0;
    std::variant<caller_request_event, caller_disconnected_event, caller_progress_event, link_opened_event,
                 link_closed_event, link_message_event, members_event, claim_result_event,
                 configuration_event, store_contact_event, tick_event, stop_event>
        content;
};

} // namespace hemlocknotch
