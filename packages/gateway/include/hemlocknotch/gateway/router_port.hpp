#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/core/metric_effect.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>
#include <hemlocknotch/gateway/waiting_queue.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Identifies one call to an endpoint within one gateway.
using call_id = std::uint64_t;

/// A caller's request. Immutable once it is handed to the router.
struct caller_request {
    std::string method;
    std::string target;
    std::string host;
    /// Headers that are passed on to the endpoint unchanged, without those that apply to the connection only.
    std::vector<header_field> headers;
    std::string body;
    request_fields fields;
};

/// Status and headers of an answer.
struct answer_head {
    int status = 0;
    /// Headers that are passed on to the caller, without those that apply to the connection only.
    std::vector<header_field> headers;
};

/// A call to start.
struct call_start {
    call_id call = 0;
    std::shared_ptr<const caller_request> request;
    endpoint_address address;
    std::string instance;
    /// Name of the client account; empty if the request has none.
    std::string account;
    /// Time that the endpoint may take.
    duration remaining{};
    /// Id of the event after which a stream is resumed; empty if it is not resumed.
    std::string resume_after;
    /// Must be executed at most once, so that it is not sent on a connection that the endpoint may already
    /// have closed.
    bool is_unrepeatable = false;
    /// Maximum number of connections from this gateway to the endpoint. Zero: no limit.
    unsigned max_connections = 0;
};

/// How a call ended.
enum class call_outcome : std::uint8_t {
    /// The answer is complete.
    complete,
    /// No connection was made; the endpoint received nothing.
    not_connected,
    /// The connection broke or the answer cannot be read; the request may have been executed.
    broken,
};

/// Interface through which the router acts: starts calls, answers callers, and records metrics and logs. It
/// is called on the router's thread from within the router's functions; an implementation must not call back
/// into the router from there.
class router_port {
public:
    virtual ~router_port() = default;

    virtual void start_call(const call_start& start) = 0;
    /// Cancels a call, so that its endpoint stops working on it. The router gets no further events of it.
    virtual void cancel_call(call_id call) = 0;
    /// Cancels a call of which nothing has been sent to its endpoint. Returns false, and changes nothing,
    /// where the endpoint may have received a part of the request.
    virtual bool recall_call(call_id call) = 0;
    /// Takes no more bytes from the endpoint of a call until `resume_call`, so that it has to wait.
    virtual void pause_call(call_id call) = 0;
    virtual void resume_call(call_id call) = 0;

    /// Sends a complete answer.
    virtual void reply(exchange_id exchange, const answer_head& head, std::string_view body) = 0;
    /// Begins an answer of unknown length.
    virtual void begin_stream(exchange_id exchange, const answer_head& head) = 0;
    virtual void send_part(exchange_id exchange, std::string_view bytes) = 0;
    /// Returns whether so much of an answer waits for its caller that no more of it should be sent. The
    /// caller's having taken it all is reported then.
    [[nodiscard]] virtual bool is_caller_congested(exchange_id exchange) = 0;
    virtual void end_stream(exchange_id exchange) = 0;
    /// Closes the caller's connection in such a way that the part already sent cannot be taken for a complete
    /// answer.
    virtual void abort(exchange_id exchange) = 0;

    /// Returns whether the caller has closed its connection, also where that is not reported yet.
    [[nodiscard]] virtual bool has_caller_disconnected(exchange_id exchange) = 0;

    virtual void record(const metric_effect& metric) = 0;

    /// Returns the time as of which the registry is known, for log records; `instant{}`: unknown.
    [[nodiscard]] virtual instant registry_as_of() const = 0;
    /// Returns how long events of connections currently wait until they are handled, for log records.
    [[nodiscard]] virtual duration event_delay() const = 0;

    /// Returns whether a record of `level` would be written now. Records that are left out are counted.
    virtual bool wants_log(log_level level) = 0;
    virtual void write_log(const log_effect& record) = 0;
    /// Writes a record on the state of the fleet, without taking it from the budget of its level. For rare
    /// events only.
    virtual void write_state_log(const log_effect& record) = 0;
};

} // namespace hemlocknotch::gateway
