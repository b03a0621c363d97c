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

/// Limits of the callers' interface.
struct caller_http_server_options {
    /// Incarnation of this entry; origin of the ids of requests that the front itself refuses.
    std::uint64_t incarnation = 0;
    std::size_t max_header_bytes = 64U << 10U;
    /// Largest body of any request. Profiles bound theirs further.
    std::size_t max_body_bytes = 16U << 20U;
    /// Bytes of an answer's body between two reports of progress.
    std::size_t progress_step_bytes = 64U << 10U;
    /// A connection on which nothing has moved for this long is closed, except while a request waits.
    duration idle_limit = std::chrono::seconds{60};
};

/// Callers' HTTP interface (docs/INTERFACES.md) by evhttp. Used by the event loop's thread only.
class caller_http_server {
public:
    /// `base` and `sink` must outlive the front.
    caller_http_server(event_base* base, const caller_http_server_options& options, caller_sink& sink);
    ~caller_http_server();
    caller_http_server(const caller_http_server&) = delete;
    caller_http_server(caller_http_server&&) = delete;
    caller_http_server& operator=(const caller_http_server&) = delete;
    caller_http_server& operator=(caller_http_server&&) = delete;

    /// Listens on `address`. Returns the address listened on, or a `start_error`.
    boost::leaf::result<endpoint_address> listen(const endpoint_address& address);

    /// Starts an answer. Like those below, ignored where the exchange has ended or its caller has gone.
    void start_reply(const reply_head_effect& head);

    /// Passes bytes of the body on.
    void send_part(const reply_part_effect& part);

    /// Sends the final chunk: the answer is whole.
    void end_reply(exchange_id exchange);

    /// Closes the connection without a final chunk.
    void abort_reply(exchange_id exchange);

    /// Answers with a refusal.
    void refuse(const reply_refusal_effect& refused);

    /// From now on closes each connection after its answer, so that no caller sends its next request to a
    /// process that is about to exit.
    void drain() { is_draining_ = true; }

    /// Returns whether any caller's connection has bytes that the system has not yet taken.
    [[nodiscard]] bool has_unsent_bytes() const { return outputs_.has_unsent_bytes(); }

    /// Returns the number of exchanges that have not ended.
    [[nodiscard]] std::size_t exchange_count() const { return exchanges_.size(); }

private:
    static void handle_request(evhttp_request* request, void* self);
    static bufferevent* handle_connection(event_base* base, void* self);

    void accept(evhttp_request* request);
    void refuse_unread(exchange_id exchange, std::string_view detail);
    void write_refusal(exchange_id exchange, const request_id& id, const refusal& reason,
                       std::string_view detail);
    void report_progress(exchange_id exchange);
    void report_gone(exchange_id exchange);
    std::string page_for(int status);
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
