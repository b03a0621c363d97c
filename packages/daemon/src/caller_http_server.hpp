#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/time.hpp>

#include "caller_exchange.hpp"
#include "caller_sink.hpp"
#include "connection_output_monitor.hpp"
#include "http_server.hpp"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlocknotch::daemon {

/// Limits of the HTTP interface for callers.
struct caller_http_server_options {
    /// Incarnation of this entry process; origin in the ids of the requests that the server refuses by
    /// itself.
    std::uint64_t incarnation = 0;
    std::size_t max_header_bytes = 64U << 10U;
    /// Largest body of any request. A profile may set a lower limit.
    std::size_t max_body_bytes = 16U << 20U;
    /// Bytes of an answer that the caller's connection accepts between two progress reports.
    std::size_t progress_step_bytes = 64U << 10U;
    /// A connection without traffic for this long is closed, except while a request waits for its answer.
    duration idle_limit = std::chrono::seconds{60};
};

/// HTTP server for callers (docs/INTERFACES.md), built on evhttp. Used by the event loop's thread only.
class caller_http_server {
public:
    /// `base` and `sink` must outlive the server.
    caller_http_server(event_base* base, const caller_http_server_options& options, caller_sink& sink);
    ~caller_http_server();
    caller_http_server(const caller_http_server&) = delete;
    caller_http_server(caller_http_server&&) = delete;
    caller_http_server& operator=(const caller_http_server&) = delete;
    caller_http_server& operator=(caller_http_server&&) = delete;

    /// Listens on `address`. Returns the address listened on, or a `start_error`.
    boost::leaf::result<endpoint_address> listen(const endpoint_address& address);

    /// Starts an answer. This and the next four functions do nothing if the exchange has ended or its caller
    /// has disconnected.
    void start_reply(const reply_head_effect& head);

    /// Sends bytes of the body.
    void send_part(const reply_part_effect& part);

    /// Sends the final chunk, which marks the answer as complete.
    void end_reply(exchange_id exchange);

    /// Closes the connection without a final chunk, so that the caller sees an incomplete answer.
    void abort_reply(exchange_id exchange);

    /// Answers with a refusal, or aborts the answer if it has started.
    void refuse(const reply_refusal_effect& refused);

    /// From now on closes each connection after its answer, so that no caller sends its next request to a
    /// process that is about to exit.
    void drain() { is_draining_ = true; }

    /// Returns whether any caller's connection has bytes that are not yet written to its socket.
    [[nodiscard]] bool has_unsent_bytes() const { return outputs_.has_unsent_bytes(); }

    /// Returns the number of exchanges that have not ended.
    [[nodiscard]] std::size_t exchange_count() const { return exchanges_.size(); }

private:
    static void handle_request(evhttp_request* request, void* self);
    static bufferevent* handle_connection(event_base* base, void* self);

    void accept(evhttp_request* request);
    void refuse_malformed(exchange_id exchange, std::string_view detail);
    void write_refusal(exchange_id exchange, const request_id& id, const refusal& reason,
                       std::string_view detail);
    void report_progress(exchange_id exchange);
    void report_disconnect(exchange_id exchange);
    std::string refusal_page(int status);
    request_id next_refused_id();
    caller_exchange* find(exchange_id exchange);
    void drop(exchange_id exchange);

    caller_http_server_options options_;
    caller_sink& sink_;
    bool is_draining_ = false;
    exchange_id last_exchange_ = 0;
    std::uint64_t refused_count_ = 0;
    std::unordered_map<exchange_id, std::unique_ptr<caller_exchange>> exchanges_;
    connection_output_monitor outputs_;
    http_server server_;
};

} // namespace hemlocknotch::daemon
