#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/gateway/answer_memory.hpp>

#include "../event_priority.hpp"
#include "../libevent_handles.hpp"

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// How a connection ended.
enum class channel_end : std::uint8_t {
    /// The peer has closed its sending side, and all its bytes were received.
    orderly,
    /// Reset, timed out or otherwise broken.
    broken,
    /// The connection was never established.
    not_connected,
};

/// Receives the events of a channel. Calls come from the event loop, never from within the channel's
/// functions.
class channel_sink {
public:
    virtual ~channel_sink() = default;

    /// The connection that `connect` started is established.
    virtual void on_connected() {}

    virtual void on_bytes(std::string_view bytes) = 0;

    /// The peer of an adopted socket has closed its sending side. Comes before bytes that are not read yet,
    /// and with the priority of control events.
    virtual void on_peer_closed() {}

    /// The connection has ended. No further call follows.
    virtual void on_end(channel_end end) = 0;
    /// All bytes that were passed to `send` are in the kernel's send buffer.
    virtual void on_drained() = 0;
};

/// A non-blocking TCP connection. Sends at once what fits the kernel's send buffer and buffers the rest, so
/// that a small message costs one system call. Its events have the priority of requests, but for the end of
/// an adopted socket's peer. Used on the event loop's thread only.
class socket_channel : public std::enable_shared_from_this<socket_channel> {
public:
    /// Takes ownership of an accepted socket. `base` and `memory`, in which unsent bytes count, must outlive
    /// the channel; `sink` must live until `on_end` or `close`.
    static std::shared_ptr<socket_channel> adopt(event_base* base, int fd, channel_sink& sink,
                                                 gateway::answer_memory& memory);

    /// Starts to connect to `address`, for at most `timeout`; bytes sent meanwhile are buffered. A connection
    /// that is established by the time the timeout is handled is used. Returns null
    /// where no socket can be opened or connecting fails at once.
    static std::shared_ptr<socket_channel> connect(event_base* base, const endpoint_address& address,
                                                   std::chrono::milliseconds timeout, channel_sink& sink);

    ~socket_channel();
    socket_channel(const socket_channel&) = delete;
    socket_channel(socket_channel&&) = delete;
    socket_channel& operator=(const socket_channel&) = delete;
    socket_channel& operator=(socket_channel&&) = delete;

    /// Sends bytes. Ignored once the channel is closed or is being closed.
    void send(std::string_view bytes);

    /// Returns the number of bytes that are not in the kernel's send buffer yet.
    [[nodiscard]] std::size_t pending_bytes() const { return pending_.size() - pending_begin_; }

    /// Returns whether the unsent bytes were too many for the memory of all answers when the last ones were
    /// sent. Only of an adopted socket.
    [[nodiscard]] bool is_over_memory() const { return is_over_memory_; }

    [[nodiscard]] bool is_connected() const { return is_connected_; }

    /// Returns whether the peer has closed the connection and nothing is left to read, even before `on_end`
    /// is called.
    [[nodiscard]] bool has_peer_closed() const;

    /// Returns whether bytes have arrived that were not passed to the sink yet.
    [[nodiscard]] bool has_unread_bytes() const;

    /// Returns whether the connection is open as far as the kernel knows and no bytes have arrived that were
    /// not passed to the sink yet.
    [[nodiscard]] bool is_quiet() const;

    /// Stop and resume reading, so that TCP flow control slows down a peer that sends faster than its bytes
    /// can be processed.
    void pause_reading();
    void resume_reading();

    /// Closes at once. The kernel resets the connection where received bytes are unread. The sink is not
    /// called any more.
    void close();

    /// Closes at once and discards the sent bytes that the peer has not acknowledged, so that a partition
    /// between the two cannot deliver them later. The peer sees a reset.
    void reset();

    /// Shuts down the sending side once all bytes are in the kernel's send buffer. Bytes that still arrive
    /// are read and discarded.
    void close_when_drained();

private:
    socket_channel(event_base* base, int fd, channel_sink& sink, bool is_connected);

    static void handle_read(evutil_socket_t fd, short what, void* self);
    static void handle_write(evutil_socket_t fd, short what, void* self);
    static void handle_peer_closed(evutil_socket_t fd, short what, void* self);
    void read_bytes();
    void write_bytes();
    /// Returns what `recv` returns for the next byte, which stays unread.
    [[nodiscard]] ssize_t peek() const;
    /// Notes the error of a call to the kernel that returned `n`. Returns whether the connection is broken.
    bool note_error(ssize_t n) const;
    void wait_for_connection(std::chrono::milliseconds timeout);
    void finish_connecting(bool is_timeout);
    void end(channel_end reason);
    /// Counts the unsent bytes in the memory of all answers.
    void note_pending();

    channel_sink* sink_;
    int fd_;
    event_ptr read_event_;
    event_ptr write_event_;
    /// Of an adopted socket only.
    event_ptr closed_event_;
    /// Bytes that are not in the kernel's send buffer yet, from `pending_begin_` on.
    std::string pending_;
    std::size_t pending_begin_ = 0;
    std::optional<gateway::answer_holding> holding_;
    bool is_over_memory_ = false;
    /// The kernel has returned an error for the connection. It does so once: the next read after it looks
    /// like an orderly end.
    mutable bool has_failed_ = false;
    bool is_connected_;
    bool is_closing_ = false;
    bool is_write_event_added_ = false;
};

} // namespace hemlocknotch::daemon
