#pragma once

#include <hemlocknotch/gateway/request_memory.hpp>
#include <hemlocknotch/gateway/router_port.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include "../timer.hpp"
#include "message_parser.hpp"
#include "socket_channel.hpp"
#include "yielding_connections.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

class caller_connection;

/// Receives the events of callers' connections and supplies their settings. Calls come from the event loop.
class caller_connection_owner {
public:
    virtual ~caller_connection_owner() = default;

    /// A complete request was received. The connection reads no other request until this one is answered.
    virtual void on_request(caller_connection& connection,
                            std::shared_ptr<const gateway::caller_request> request) = 0;
    /// The caller disconnected before the answer to `exchange` was complete.
    virtual void on_disconnected(gateway::exchange_id exchange) = 0;
    /// The connection is closed. The owner destroys it later, not from within this call.
    virtual void on_closed(caller_connection& connection) = 0;
    /// A request was rejected with `status` because it was invalid or was not received in time.
    virtual void on_malformed(int status, std::string_view reason) = 0;

    [[nodiscard]] virtual const gateway::caller_limits& limits() const = 0;
    [[nodiscard]] virtual const gateway::message_dialect& dialect() const = 0;
    /// Returns whether each connection is closed after its answer, because the process stops or too many
    /// connections are open.
    [[nodiscard]] virtual bool is_closing_after_answers() const = 0;
    /// No request of the connection is being served; it has entered `phase`, or made progress in it.
    virtual void on_yielding(caller_connection& connection, yielding_phase phase) = 0;
    /// The caller of `exchange` has taken all that was sent to it after it had been congested.
    virtual void on_drained(gateway::exchange_id exchange) = 0;
    [[nodiscard]] virtual gateway::answer_memory& memory() = 0;
    /// `holder` has so many bytes of requests. Others are told to give way where all hold too many. Returns
    /// false where this one has to; only if `may_give_way`.
    virtual bool note_held(gateway::request_holder& holder, std::size_t bytes, bool may_give_way) = 0;
};

/// HTTP/1.1 connection of one caller: parses requests strictly, one after the other, and writes their
/// answers. Used on the event loop's thread only.
class caller_connection final : public channel_sink, private gateway::request_holder {
public:
    caller_connection(event_base* base, int fd, caller_connection_owner& owner);

    caller_connection(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() override;

    /// Sets the id of the exchange that is being served; 0: none. Called by the owner from within
    /// `on_request`, and before `abort` where the owner needs no `on_disconnected`.
    void set_exchange(gateway::exchange_id exchange) { exchange_ = exchange; }

    /// Sends a complete answer. Where a stream has begun, closes the connection instead, since the caller
    /// would take the answer for a part of the stream.
    void reply(const gateway::answer_head& head, std::string_view body);
    /// Begins an answer in chunks. Its head is sent with the first chunk.
    void begin_stream(const gateway::answer_head& head);
    void send_part(std::string_view bytes);
    void end_stream();
    /// Closes at once; an answer in progress stays incomplete.
    void abort();

    /// Refuses what has been received of a request, if anything, and closes. Precondition: no request is
    /// being served.
    void give_way_to_new();

    /// Closes the connection unless a request is being read or served.
    void close_if_idle();

    [[nodiscard]] bool is_serving() const { return exchange_ != 0; }

    /// Returns whether so much is unsent that no more should be sent until the owner's `on_drained`.
    [[nodiscard]] bool is_congested();

    [[nodiscard]] bool has_peer_closed() const { return is_closed_ || channel_->has_peer_closed(); }

    void on_bytes(std::string_view bytes) override;
    void on_peer_closed() override;
    void on_end(channel_end end) override;

    void on_drained() override;

private:
    /// Holds the bytes that have been received behind the request that is being served.
    class pipelined_bytes final : public gateway::request_holder {
    public:
        explicit pipelined_bytes(caller_connection& owner) : owner_{owner} {}

        void give_way() override { owner_.drop_pipelined(); }

    private:
        caller_connection& owner_;
    };

    /// Refuses the request that is being received, to free its memory. Precondition: none is being served.
    void give_way() override;
    /// Notes the bytes behind the request that is being served, and reads no more until it is answered.
    void hold_pipelined();
    /// Frees these bytes; the connection ends with the answer in progress.
    void drop_pipelined();
    void read_requests();
    void handle_request();
    /// Notes the bytes of the request that is being received, and refuses it where they are too many.
    void note_received();
    void reject(int status, std::string_view reason);
    void finish_answer();
    /// Returns whether the caller has taken bytes of the answers that are still unsent since the last call.
    bool is_taking_answer();
    void on_timeout();
    void enter_idle();
    void close();
    void append_head(std::string& out, const gateway::answer_head& head);

    caller_connection_owner& owner_;
    std::shared_ptr<socket_channel> channel_;
    timer timer_;
    /// Received bytes that are not parsed yet.
    std::string input_;
    pipelined_bytes pipelined_{*this};
    /// Head of a stream whose first chunk has not been sent yet.
    std::string stream_head_;
    std::unique_ptr<request_parser> parser_;
    gateway::exchange_id exchange_ = 0;
    /// Bytes that were unsent when the last answer ended, or when that was checked last.
    std::size_t unsent_bytes_ = 0;
    bool is_head_method_ = false;
    /// A stream has begun and not ended.
    bool is_streaming_ = false;
    /// The stream has a head only: it answers a HEAD request, or its status allows no body.
    bool is_body_omitted_ = false;
    /// The answer in progress is the last one of the connection.
    bool is_closing_after_answer_ = false;
    bool has_sent_continue_ = false;
    bool is_closed_ = false;
    bool is_reading_ = false;
    /// No more is read until the request in progress is answered.
    bool is_paused_ = false;
    /// A pipelined request is parsed on the next iteration of the event loop, so that `on_request` is not
    /// called from within a function that the owner called.
    bool is_read_pending_ = false;
    /// The owner waits for `on_drained`.
    bool is_congestion_reported_ = false;
    /// More of the answer is unsent than may be held; the connection is aborted on the next iteration
    /// of the event loop.
    bool is_unsent_limit_exceeded_ = false;
};

} // namespace hemlocknotch::daemon
