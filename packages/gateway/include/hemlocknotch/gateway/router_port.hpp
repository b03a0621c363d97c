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

/// Names one call to an endpoint within one gateway.
using call_id = std::uint64_t;

/// A caller's request. Immutable once it is handed to the router.
struct caller_request {
    std::string method;
    std::string target;
    std::string host;
    /// Headers that go on to the endpoint as they are, those of the connection left out.
    std::vector<header_field> headers;
    std::string body;
    request_fields fields;
};

/// Start of an answer.
struct answer_head {
    int status = 0;
    /// Headers that go on to the caller, those of the connection left out.
    std::vector<header_field> headers;
};

/// A call to start.
struct call_start {
    call_id call = 0;
    std::shared_ptr<const caller_request> request;
    endpoint_address address;
    std::string instance;
    /// Name of the client account; empty where the request has none.
    std::string account;
    /// Time that the endpoint may use.
    duration remaining{};
    /// Event after which a stream goes on; empty: as the caller asked.
    std::string resume_after;
    /// May be executed only once, so that no connection that may be gone is used for it.
    bool is_unrepeatable = false;
    /// Connections that the gateway may have to this endpoint.
    unsigned max_connections = 0;
};

/// How a call ended.
enum class call_outcome : std::uint8_t {
    /// The whole answer has come.
    complete,
    /// Nothing has reached the endpoint.
    not_connected,
    /// The connection broke or the answer cannot be read; the request may have been executed.
    broken,
};

/// What the router does to the world. Calls come on the router's thread, from within its functions; an
/// implementation does not call back into the router from within them.
class router_port {
public:
    virtual ~router_port() = default;

    virtual void start_call(const call_start& start) = 0;
    /// Ends a call so that its endpoint stops working on it. Nothing more is told of it.
    virtual void cancel_call(call_id call) = 0;

    /// Answers with a whole message.
    virtual void reply(exchange_id exchange, const answer_head& head, std::string_view body) = 0;
    /// Begins an answer whose length is not known.
    virtual void begin_stream(exchange_id exchange, const answer_head& head) = 0;
    virtual void send_part(exchange_id exchange, std::string_view bytes) = 0;
    virtual void end_stream(exchange_id exchange) = 0;
    /// Closes the caller's connection so that what was sent cannot be taken for a whole answer.
    virtual void abort(exchange_id exchange) = 0;

    virtual void record(const metric_effect& metric) = 0;

    /// Returns whether a line of `level` would be written now; what is left out is counted.
    virtual bool wants_log(log_level level) = 0;
    virtual void write_log(const log_effect& record) = 0;
};

} // namespace hemlocknotch::gateway
