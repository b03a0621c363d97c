#pragma once

#include <hemlocknotch/gateway/router_port.hpp>

#include "message_parser.hpp"
#include "socket_channel.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

class endpoint_connection;

/// Head of an answer that was received while a call was in progress and does not belong to it, or may not.
struct discarded_answer {
    int status = 0;
    /// Id of the request that the call sent, and the one that the answer carries, if any.
    std::string_view expected_id;
    std::string_view received_id;
};

/// Receives the answers of endpoints. Calls come from the event loop.
class endpoint_answer_sink {
public:
    virtual ~endpoint_answer_sink() = default;

    /// The connection of a call is established late enough that its request was not sent yet. It is sent
    /// after this, unless the call is cancelled.
    virtual void on_connected(gateway::call_id call) = 0;
    virtual void on_head(gateway::call_id call, gateway::answer_head head,
                         const gateway::answer_fields& fields) = 0;
    virtual void on_part(gateway::call_id call, std::string_view bytes) = 0;
    virtual void on_end(gateway::call_id call, gateway::call_outcome outcome) = 0;
    /// The endpoint at `from` has sent an answer to another request, which is discarded, or one that cannot
    /// be attributed to a request, which ends the call as broken. The views are valid during the call.
    virtual void on_discarded(const endpoint_address& from, const discarded_answer& answer) = 0;
};

/// Receives the state changes of connections to endpoints. Calls come from the event loop.
class endpoint_connection_owner {
public:
    virtual ~endpoint_connection_owner() = default;

    /// The call has ended and the connection can serve another one.
    virtual void on_call_done(endpoint_connection& connection) = 0;
    /// The endpoint has sent a failure without an id, which only the first answer of a connection may be.
    virtual void on_answer_without_id(endpoint_connection& connection) = 0;
    /// The connection is closed. The owner destroys it later, not from within this call.
    virtual void on_closed(endpoint_connection& connection) = 0;
    [[nodiscard]] virtual instant now() const = 0;
};

/// HTTP/1.1 connection to an endpoint that serves one call at a time. An answer belongs to the call in
/// progress if it carries the id of its request, which the connection carries once at most, or if it is a
/// failure without an id and the connection has carried no other call. Any other answer may be a late copy of
/// an earlier one: it is discarded if it carries an id, and otherwise ends the call as broken. A connection
/// that received such an answer, one without an id, or bytes while no call was in progress, is not used for
/// another call. Used on the event loop's thread only.
class endpoint_connection final : public channel_sink {
public:
    /// Starts to connect. `is_open` returns false where no socket could be opened. `base`, `dialect`, `sink`,
    /// `owner` and `memory`, in which unread answers count, must outlive the connection.
    endpoint_connection(event_base* base, const endpoint_address& address,
                        const gateway::message_dialect& dialect, endpoint_answer_sink& sink,
                        endpoint_connection_owner& owner, gateway::answer_memory& memory);
    ~endpoint_connection() override;

    endpoint_connection(const endpoint_connection&) = delete;
    endpoint_connection(endpoint_connection&&) = delete;
    endpoint_connection& operator=(const endpoint_connection&) = delete;
    endpoint_connection& operator=(endpoint_connection&&) = delete;

    [[nodiscard]] bool is_connected() const { return channel_ && channel_->is_connected(); }

    [[nodiscard]] bool is_open() const { return channel_ != nullptr; }

    [[nodiscard]] const endpoint_address& address() const { return address_; }

    [[nodiscard]] bool is_idle() const { return call_ == 0; }

    /// Returns the last call that was sent, whether it has ended or not; 0 before the first.
    [[nodiscard]] gateway::call_id last_call() const { return last_call_; }

    /// Returns whether a call can be sent at `now`: no other one is in progress, the connection has not
    /// carried the request's id before, and it has been idle for so short a time that the endpoint has
    /// probably not closed it. The limit is stricter for a request that may be executed only once.
    [[nodiscard]] bool is_reusable(instant now, const gateway::call_start& start) const;

    /// Returns whether nothing has arrived since the last call ended, not even the end of the connection.
    /// Precondition: no call is in progress.
    [[nodiscard]] bool is_quiet() const { return channel_ && channel_->is_quiet(); }

    /// Sends a request, or keeps it until the connection is established. Precondition: the connection is open
    /// and no call is in progress.
    void send(const gateway::call_start& start);

    /// Closes at once. The sink is not called for the call any more, and what its endpoint has not received
    /// of its request is discarded.
    void close();

    /// Stop and resume reading, so that the endpoint has to wait. Ignored where no call is in progress.
    void pause();
    void resume();

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(channel_end end) override;

    void on_drained() override {}

private:
    void read_answers();
    /// Counts what is not parsed yet in the memory of all answers. Returns whether it may be held.
    [[nodiscard]] bool note_unread();
    /// Returns false where the call has ended or the sink has cancelled it.
    bool process_head();
    /// Decides on an answer without the id of the request. Returns whether the call goes on.
    bool process_foreign_head(std::string_view received_id);
    /// Returns whether the call has ended with the answer.
    bool finish_answer();
    void forward_body();
    void end_call(gateway::call_outcome outcome);
    void read_keep_alive(const std::vector<gateway::header_field>& fields);

    endpoint_address address_;
    const gateway::message_dialect& dialect_;
    endpoint_answer_sink& sink_;
    endpoint_connection_owner& owner_;
    std::shared_ptr<socket_channel> channel_;
    /// Received bytes that are not parsed yet.
    std::string input_;
    gateway::answer_holding holding_;
    std::unique_ptr<answer_parser> parser_;
    /// The call in progress; 0: none.
    gateway::call_id call_ = 0;
    gateway::call_id last_call_ = 0;
    /// The call that waits for the connection, and since when.
    std::optional<gateway::call_start> waiting_;
    instant waiting_since_;
    std::string request_id_;
    /// Hashes of the request ids that the connection has carried, of the call in progress included.
    std::vector<std::size_t> carried_ids_;
    bool is_head_method_ = false;
    /// Both HEAD and other requests were carried, so that the end of an answer to an unknown one is unknown.
    bool has_carried_both_kinds_ = false;
    bool has_head_ = false;
    /// The answer that is being read is discarded: it is an interim one (1xx) or belongs to another request.
    bool is_discarding_ = false;
    /// Bytes of such answers since the call was sent.
    std::size_t discarded_bytes_ = 0;
    /// False once an answer to another request, or one without an id, was received.
    bool is_reusable_after_call_ = true;
    bool is_closed_ = false;
    bool is_paused_ = false;
    /// Idle time after which the connection is not used again.
    duration idle_timeout_;
    instant idle_since_;
};

} // namespace hemlocknotch::daemon
