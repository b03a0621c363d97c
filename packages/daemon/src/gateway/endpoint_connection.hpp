#pragma once

#include <hemlocknotch/gateway/router_port.hpp>

#include "message_parser.hpp"
#include "socket_channel.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

class endpoint_connection;

/// Takes what endpoints answer. Calls come from the event loop.
class endpoint_answer_sink {
public:
    virtual ~endpoint_answer_sink() = default;

    virtual void on_head(gateway::call_id call, gateway::answer_head head,
                         const gateway::answer_fields& fields) = 0;
    virtual void on_part(gateway::call_id call, std::string_view bytes) = 0;
    virtual void on_end(gateway::call_id call, gateway::call_outcome outcome) = 0;
};

/// Owner of connections to endpoints.
class endpoint_connection_owner {
public:
    virtual ~endpoint_connection_owner() = default;

    /// The call has ended and the connection may serve another.
    virtual void on_call_done(endpoint_connection& connection) = 0;
    /// The connection is closed; the owner destroys it later, not from within this call.
    virtual void on_closed(endpoint_connection& connection) = 0;
    [[nodiscard]] virtual instant now() const = 0;
};

/// One connection to an endpoint, which serves one call at a time. An answer that names another request is
/// read and dropped; a connection that has carried bytes belonging to no request is not used again. Used on
/// the event loop's thread only.
class endpoint_connection final : public channel_sink {
public:
    /// Starts to connect. `is_open` tells whether the system gave a socket.
    endpoint_connection(event_base* base, const endpoint_address& address,
                        const gateway::message_dialect& dialect, endpoint_answer_sink& sink,
                        endpoint_connection_owner& owner);
    ~endpoint_connection() override;

    endpoint_connection(const endpoint_connection&) = delete;
    endpoint_connection(endpoint_connection&&) = delete;
    endpoint_connection& operator=(const endpoint_connection&) = delete;
    endpoint_connection& operator=(endpoint_connection&&) = delete;

    [[nodiscard]] bool is_open() const { return channel_ != nullptr; }

    [[nodiscard]] const endpoint_address& address() const { return address_; }

    /// Returns the call sent last, ended or not; 0 before the first.
    [[nodiscard]] gateway::call_id last_call() const { return last_call_; }

    /// Returns whether a call may be sent now that must not meet a connection that the endpoint has given up.
    [[nodiscard]] bool is_fresh(instant now, bool is_unrepeatable) const;

    /// Sends a request. Precondition: no call is under way.
    void send(const gateway::call_start& start);

    /// Closes at once; nothing more is told of the call.
    void close();

    void on_bytes(std::string_view bytes) override;
    void on_end(channel_end end) override;

    void on_drained() override {}

private:
    void read_answers();
    bool take_head();
    bool finish_answer();
    void pass_body();
    void finish_call(gateway::call_outcome outcome);
    void note_keep_alive(const std::vector<gateway::header_field>& fields);

    endpoint_address address_;
    const gateway::message_dialect& dialect_;
    endpoint_answer_sink& sink_;
    endpoint_connection_owner& owner_;
    std::shared_ptr<socket_channel> channel_;
    std::string held_;
    std::unique_ptr<answer_parser> parser_;
    /// The call under way; 0: none.
    gateway::call_id call_ = 0;
    gateway::call_id last_call_ = 0;
    std::string request_id_;
    bool is_head_method_ = false;
    bool has_head_ = false;
    /// The answer being read belongs to another request.
    bool is_foreign_ = false;
    /// The connection has carried something that belongs to no request.
    bool is_spoilt_ = false;
    bool is_closed_ = false;
    duration idle_limit_;
    instant idle_since_;
};

} // namespace hemlocknotch::daemon
