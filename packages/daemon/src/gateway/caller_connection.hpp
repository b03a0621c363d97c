#pragma once

#include <hemlocknotch/gateway/router_port.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include "../timer.hpp"
#include "message_parser.hpp"
#include "socket_channel.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

class caller_connection;

/// Owner of callers' connections.
class caller_connection_owner {
public:
    virtual ~caller_connection_owner() = default;

    /// Takes a whole request. The connection reads no other one until it is answered.
    virtual void on_request(caller_connection& connection,
                            std::shared_ptr<const gateway::caller_request> request) = 0;
    /// The caller left before the answer to `exchange` was complete.
    virtual void on_disconnected(gateway::exchange_id exchange) = 0;
    /// The connection is closed; the owner destroys it later, not from within this call.
    virtual void on_closed(caller_connection& connection) = 0;
    /// A request was refused before it was a request.
    virtual void on_malformed(int status, std::string_view reason) = 0;

    [[nodiscard]] virtual const gateway::caller_limits& limits() const = 0;
    [[nodiscard]] virtual const gateway::message_dialect& dialect() const = 0;
    /// No connection is kept after its answer, because the process stops or there are too many.
    [[nodiscard]] virtual bool is_closing_after_answers() const = 0;
    /// The connection waits for a request, or no longer does.
    virtual void on_idle(caller_connection& connection) = 0;
    virtual void on_busy(caller_connection& connection) = 0;
};

/// One caller's connection: reads one request after another, strictly, and writes their answers. Used on the
/// event loop's thread only.
class caller_connection final : public channel_sink {
public:
    caller_connection(event_base* base, int fd, caller_connection_owner& owner);

    caller_connection(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() override;

    /// Names the request that is being answered. Precondition: `on_request` has just been told.
    void set_exchange(gateway::exchange_id exchange) { exchange_ = exchange; }

    void reply(const gateway::answer_head& head, std::string_view body);
    void begin_stream(const gateway::answer_head& head);
    void send_part(std::string_view bytes);
    void end_stream();
    /// Closes at once; the answer under way stays incomplete.
    void abort();

    /// Closes the connection if no request is under way or partly read.
    void close_if_idle();

    [[nodiscard]] bool is_serving() const { return exchange_ != 0; }

    void on_bytes(std::string_view bytes) override;
    void on_end(channel_end end) override;

    void on_drained() override {}

private:
    void read_requests();
    void take_request();
    void fail(int status, std::string_view reason);
    void finish_answer();
    void on_timeout();
    void start_waiting();
    void close();
    void append_head(std::string& out, const gateway::answer_head& head);

    caller_connection_owner& owner_;
    std::shared_ptr<socket_channel> channel_;
    timer timer_;
    std::string held_;
    /// Head of a stream that has no part yet.
    std::string held_answer_;
    std::unique_ptr<request_parser> parser_;
    gateway::exchange_id exchange_ = 0;
    bool is_head_method_ = false;
    bool is_last_ = false;
    bool has_sent_continue_ = false;
    bool is_closed_ = false;
    bool is_reading_ = false;
    /// Bytes of a further request are to be read on the next turn of the loop, outside of the owner's
    /// functions.
    bool is_resuming_ = false;
    /// The caller takes its answer too slowly; it is given up on the next turn.
    bool is_overrun_ = false;
};

} // namespace hemlocknotch::daemon
