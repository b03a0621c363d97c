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

/// One caller's request that evhttp has handed over, until its answer has been written or its caller has
/// gone. Used by the event loop's thread only.
class caller_exchange {
public:
    /// Called once with the exchange's number where the caller closes the connection first. The exchange may
    /// be destroyed by it.
    using gone_callback = std::function<void(exchange_id)>;

    /// Takes over `request` and watches its connection, which `outputs` has made and must know longer than
    /// this object lives. Bytes that the caller sends meanwhile are left alone.
    caller_exchange(exchange_id number, evhttp_request* request, connection_output_monitor& outputs,
                    gone_callback gone);

    /// Frees the request where its connection has gone. Otherwise an answer or `abort` must have come before.
    ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange(caller_exchange&&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    caller_exchange& operator=(caller_exchange&&) = delete;

    /// Returns the number given to the constructor.
    [[nodiscard]] exchange_id number() const { return number_; }

    /// Returns whether `start` was called.
    [[nodiscard]] bool is_started() const { return is_started_; }

    /// Writes status and headers of a chunked answer. Precondition: not started.
    void start(int status, std::span<const header_field> headers);

    /// Writes one chunk. Precondition: started.
    void send(std::string_view bytes);

    /// Writes the final chunk and gives the connection back to evhttp. Precondition: started. Last call.
    void finish();

    /// Writes a whole answer and gives the connection back to evhttp. Precondition: not started. Last call.
    void reply(int status, std::span<const header_field> headers, std::string_view body);

    /// Closes the connection at once. Last call.
    void abort();

    /// Returns how many bytes of the body the caller's connection has taken, if that is more than what was
    /// returned before.
    std::optional<std::uint64_t> progress();

    /// Asks for the connection to be closed after the answer. Precondition: not started.
    void close_after_answer();

private:
    static void handle_close(evhttp_connection* connection, void* self);
    static void handle_idle_close(evhttp_connection* connection, void* outputs);

    void forget_connection();
    void add_headers(std::span<const header_field> headers);
    void write_now();
    void give_back();

    exchange_id number_;
    connection_output_monitor& outputs_;
    gone_callback gone_;
    evhttp_request* request_;
    evhttp_connection* connection_;
    bufferevent* stream_;
    evbuffer* output_;
    bool is_started_ = false;
    std::uint64_t body_bytes_ = 0;
    std::uint64_t reported_bytes_ = 0;
};

} // namespace hemlocknotch::daemon
