#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/refusal.hpp>
#include <hemlocknotch/core/request_id.hpp>
#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/core/verdict.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between entries and agents. Plain data; the `wire` package encodes it. Links exist between
/// entries and agents only; data that every process needs is relayed over them.
namespace hemlocknotch {

/// Version of the protocol. Both ends of a link must have the same version.
inline constexpr std::uint32_t protocol_version = 1;

/// A header field of a request or an answer.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

/// First message that each end sends on a new link.
struct hello_message {
    std::uint32_t version = protocol_version;
    process_role role = process_role::entry;
    process_identity sender;
    std::string failure_domain;
    /// The service behind an agent; empty for an entry process.
    std::string service;
    std::uint64_t configuration_revision = 0;

    friend bool operator==(const hello_message&, const hello_message&) = default;
};

/// Entry to agent: run this request. As soon as its first byte has been sent, the request may have run.
struct submit_message {
    request_id id;
    /// Number of this dispatch of the request, starting at 1. Answers carry it so that answers to earlier
    /// dispatches can be recognised.
    std::uint32_t attempt = 1;
    /// The grant that this dispatch uses; 0 for a direct dispatch that uses an advertised free slot.
    std::uint64_t grant = 0;
    account_key client_account;
    /// The client account and profile by name, for logs and traces.
    std::string account_name;
    std::string profile;
    bool is_idempotent = false;
    bool is_resumable = false;
    /// Estimated cost in units of the service.
    double estimated_cost = 1.0;
    /// Time left until the request must have started.
    duration time_to_deadline{};
    /// Hash of the beginning of the prompt; 0 if there is none.
    std::uint64_t prefix = 0;
    /// Offset in the answer from which parts are requested; above 0 only for a resumable request.
    std::uint64_t offset = 0;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    std::string traceparent;

    friend bool operator==(const submit_message&, const submit_message&) = default;
};

/// Agent to entry: the dispatch was refused and did not run; a tombstone prevents any late copy from running.
struct refuse_message {
    request_id id;
    std::uint32_t attempt = 1;
    refusal_code code = refusal_code::no_room;
    duration retry_after{};

    friend bool operator==(const refuse_message&, const refuse_message&) = default;
};

/// Agent to entry: the endpoint's status and headers.
struct head_message {
    request_id id;
    std::uint32_t attempt = 1;
    std::uint32_t status = 200;
    std::vector<header_field> headers;

    friend bool operator==(const head_message&, const head_message&) = default;
};

/// Agent to entry: bytes of the answer's body, starting at `offset`.
struct part_message {
    request_id id;
    std::uint32_t attempt = 1;
    std::uint64_t offset = 0;
    std::string bytes;

    friend bool operator==(const part_message&, const part_message&) = default;
};

/// Agent to entry: the dispatch has ended. With verdict `ran`, `length` is the length of the complete body.
struct end_message {
    request_id id;
    std::uint32_t attempt = 1;
    verdict outcome = verdict::ran;
    std::uint64_t length = 0;
    /// Actual cost in units of the service.
    double cost = 0.0;
    /// Reason if the verdict is not `ran`.
    refusal_code code = refusal_code::endpoint_failed;
    /// Time that the request waited at the agent and ran at the endpoint.
    duration queue_time{};
    duration run_time{};

    friend bool operator==(const end_message&, const end_message&) = default;
};

/// Entry to agent: the answer's body has been received up to `offset`; with `is_final`, its end has been
/// received too, and the agent may discard the answer.
struct ack_message {
    request_id id;
    std::uint32_t attempt = 1;
    std::uint64_t offset = 0;
    bool is_final = false;

    friend bool operator==(const ack_message&, const ack_message&) = default;
};

/// Entry to agent: nobody waits for this dispatch any more. The agent stops an idempotent one at its
/// endpoint.
struct cancel_message {
    request_id id;
    std::uint32_t attempt = 1;

    friend bool operator==(const cancel_message&, const cancel_message&) = default;
};

/// Entry to agent: asks for the state of this dispatch, after a change of link or when parts of the answer
/// are missing. Parts are requested starting at `offset`.
struct resolve_message {
    request_id id;
    std::uint32_t attempt = 1;
    std::uint64_t offset = 0;

    friend bool operator==(const resolve_message&, const resolve_message&) = default;
};

/// What an agent knows about a dispatch.
enum class dispatch_state : std::uint8_t {
    /// Waiting or running here; parts follow on this link.
    running,
    /// Ended here; the missing parts and the end follow on this link.
    ended,
    /// Never seen. The agent adds a tombstone when it replies, so that the dispatch will not run: the verdict
    /// is `not_run`.
    never_seen,
    /// Was known, but its answer is no longer retained. The verdict is `may_have_run`.
    forgotten,
};

/// Agent to entry: the answer to `resolve_message`.
struct resolved_message {
    request_id id;
    std::uint32_t attempt = 1;
    dispatch_state state = dispatch_state::never_seen;

    friend bool operator==(const resolved_message&, const resolved_message&) = default;
};

/// Waiting requests of one client account at one entry for one service.
struct demand_item {
    account_key client_account;
    std::uint32_t waiting = 0;
    /// Age of the oldest waiting request when the message was created.
    duration oldest_request_age{};
    /// Estimated cost of the request that would be sent next.
    double estimated_cost = 1.0;

    friend bool operator==(const demand_item&, const demand_item&) = default;
};

/// Entry to agent: demand for the agent's service. First step of the credit-based flow control: an entry
/// process reports demand, an agent grants a slot (`grant_message`), and the entry uses the grant in a
/// `submit_message` or declines it (`decline_message`). Items replace earlier items of the same account;
/// `waiting` 0 removes it. With `is_snapshot`, accounts that are not named are removed.
struct demand_message {
    std::uint64_t sequence = 0;
    bool is_snapshot = false;
    std::vector<demand_item> items;

    friend bool operator==(const demand_message&, const demand_message&) = default;
};

/// Agent to entry: `free_slots` requests may be sent without a grant. Replaces the previous number; each
/// direct dispatch uses up one slot. An agent that accepts no new work sets `is_draining`.
struct free_slots_message {
    std::uint32_t free_slots = 0;
    bool is_draining = false;
    /// Load, for operators: work in progress and the current concurrency limit.
    std::uint32_t running = 0;
    std::uint32_t limit = 0;

    friend bool operator==(const free_slots_message&, const free_slots_message&) = default;
};

/// Agent to entry: a slot is reserved for one request of this client account for `time_to_live`. Credit that
/// the entry uses in a `submit_message` or declines with a `decline_message`.
struct grant_message {
    std::uint64_t grant = 0;
    account_key client_account;
    duration time_to_live{};
    /// Hashes of prompt beginnings that the endpoint has cached, most recent first.
    std::vector<std::uint64_t> cached_prefixes;

    friend bool operator==(const grant_message&, const grant_message&) = default;
};

/// Entry to agent: the entry declines this grant, because it has no waiting request that it may send
/// to this agent.
struct decline_message {
    std::uint64_t grant = 0;

    friend bool operator==(const decline_message&, const decline_message&) = default;
};

/// Service that one client account has received from one agent incarnation.
struct service_item {
    account_key client_account;
    /// Number of changes of this item; the item with the highest number is current.
    std::uint64_t sequence = 0;
    /// Service received plus the estimated remaining cost of running requests, in units.
    double charged = 0.0;

    friend bool operator==(const service_item&, const service_item&) = default;
};

/// Service provided by one agent incarnation.
struct service_source {
    process_identity agent;
    std::vector<service_item> items;

    friend bool operator==(const service_source&, const service_source&) = default;
};

/// Amount by which one client account's counter was raised when the account became backlogged again. The
/// highest amount is current.
struct counter_floor_item {
    account_key client_account;
    double counter_floor = 0.0;

    friend bool operator==(const counter_floor_item&, const counter_floor_item&) = default;
};

/// Both directions: service counters of one service, own and relayed. May be lost, duplicated or reordered.
struct service_report_message {
    account_key service;
    std::vector<service_source> sources;
    std::vector<counter_floor_item> counter_floors;

    friend bool operator==(const service_report_message&, const service_report_message&) = default;
};

/// Service that one client account has received from all agents except the receiver.
struct total_item {
    account_key client_account;
    /// Service charged, in whole units.
    std::uint64_t charged = 0;

    friend bool operator==(const total_item&, const total_item&) = default;
};

/// Entry to agent, instead of a `service_report_message` if the entry has a link to every agent of the
/// service: sums over all agent incarnations that it knows, except the receiver's. Items replace earlier
/// ones.
struct service_totals_message {
    account_key service;
    std::vector<total_item> items;
    std::vector<counter_floor_item> counter_floors;

    friend bool operator==(const service_totals_message&, const service_totals_message&) = default;
};

/// Both directions: the sender's configuration revision.
struct revision_message {
    std::uint64_t revision = 0;

    friend bool operator==(const revision_message&, const revision_message&) = default;
};

/// Both directions: requests the configuration; the sender has an older revision or none.
struct configuration_request_message {
    friend bool operator==(const configuration_request_message&,
                           const configuration_request_message&) = default;
};

/// Both directions: a complete configuration.
struct configuration_message {
    std::uint64_t revision = 0;
    std::string document;

    friend bool operator==(const configuration_message&, const configuration_message&) = default;
};

/// Both directions: sent while nothing else is. The receiver replies to a heartbeat without `is_reply` with
/// one that has `is_reply` set.
struct heartbeat_message {
    std::uint64_t sequence = 0;
    bool is_reply = false;

    friend bool operator==(const heartbeat_message&, const heartbeat_message&) = default;
};

/// Any message.
using message = std::variant<hello_message, submit_message, refuse_message, head_message, part_message,
                             end_message, ack_message, cancel_message, resolve_message, resolved_message,
                             demand_message, free_slots_message, grant_message, decline_message,
                             service_report_message, revision_message, configuration_request_message,
                             configuration_message, heartbeat_message, service_totals_message>;

/// Returns the name of the kind of `value` as used in metrics and logs, such as `submit`.
std::string_view kind_of(const message& value);

} // namespace hemlocknotch
