#pragma once

#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>

#include "connection_output_monitor.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;
struct evhttp_connection;
struct evhttp_request;

namespace hemlocknotch::daemon {

/// A caller's request that evhttp has read completely, until its answer has been written or the caller has
/// disconnected. Used by the event loop's thread only.
class caller_exchange {
public:
    /// Called once with the exchange's number if the caller closes the connection before the answer is
    /// complete. The callback may destroy the exchange.
    using disconnect_callback = std::function<void(exchange_id)>;

    /// Takes over `request` and watches its connection. The connection was created by `outputs`, which must
    /// outlive this object. Bytes that the caller sends before its answer is complete stay in the input
    /// buffer.
    caller_exchange(exchange_id number, evhttp_request* request, connection_output_monitor& outputs,
                    disconnect_callback on_disconnect);

    /// Frees the request if the caller has disconnected. Precondition: the caller has disconnected, or one of
    /// `finish`, `reply` and `abort` was called.
    ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange(caller_exchange&&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    caller_exchange& operator=(caller_exchange&&) = delete;

    /// Returns the number given to the constructor.
    [[nodiscard]] exchange_id number() const { return number_; }

    /// Returns whether `start` was called.
    [[nodiscard]] bool is_started() const { return is_started_; }

    /// Writes the status line and the headers of a chunked answer. Precondition: not started.
    void start(int status, std::span<const header_field> headers);

    /// Writes one chunk. Precondition: started.
    void send(std::string_view bytes);

    /// Writes the final chunk and gives the connection back to evhttp. Precondition: started. No other call
    /// may follow.
    void finish();

    /// Writes a complete answer and gives the connection back to evhttp. Precondition: not started. No
    /// other call may follow.
    void reply(int status, std::span<const header_field> headers, std::string_view body);

    /// Closes the connection at once. No other call may follow.
    void abort();

    /// Returns how many bytes of the body have been written to the caller's socket; nothing if that is no
    /// more than what an earlier call returned, or if there is no connection any more.
    std::optional<std::uint64_t> progress();

    /// Makes evhttp close the connection after the answer. Precondition: not started.
    void close_after_answer();

private:
    static void handle_close(evhttp_connection* connection, void* self);
    static void handle_idle_close(evhttp_connection* connection, void* outputs);

    void clear_connection();
    void add_headers(std::span<const header_field> headers);
    void write_now();
    void release_connection();

    exchange_id number_;
    connection_output_monitor& outputs_;
    disconnect_callback on_disconnect_;
    evhttp_request* request_;
    evhttp_connection* connection_;
    bufferevent* stream_;
    evbuffer* output_;
    bool is_started_ = false;
    std::uint64_t body_bytes_ = 0;
    std::uint64_t reported_bytes_ = 0;
};

} // namespace hemlocknotch::daemon
