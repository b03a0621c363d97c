#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include "../libevent_handles.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// How the other end of a connection ended it.
enum class channel_end : std::uint8_t {
    /// All its bytes have come, and it sends no more.
    orderly,
    /// Reset, timed out or otherwise broken.
    broken,
    /// The connection has never been made.
    not_connected,
};

/// Takes what happens on a channel. Calls come from the event loop, never from within the channel's
/// functions.
class channel_sink {
public:
    virtual ~channel_sink() = default;

    virtual void on_bytes(std::string_view bytes) = 0;
    virtual void on_end(channel_end end) = 0;
    /// All that was sent has been taken by the system.
    virtual void on_drained() = 0;
};

/// A non-blocking TCP connection. Sends at once what the system takes and keeps the rest, so that a small
/// message costs one system call. Used on the event loop's thread only.
class socket_channel : public std::enable_shared_from_this<socket_channel> {
public:
    /// Takes over an accepted socket.
    static std::shared_ptr<socket_channel> adopt(event_base* base, int fd, channel_sink& sink);

    /// Starts to connect to `address`; bytes sent meanwhile are kept. Returns null where the system has no
    /// socket to give or refuses at once.
    static std::shared_ptr<socket_channel> connect(event_base* base, const endpoint_address& address,
                                                   std::chrono::milliseconds limit, channel_sink& sink);

    ~socket_channel();
    socket_channel(const socket_channel&) = delete;
    socket_channel(socket_channel&&) = delete;
    socket_channel& operator=(const socket_channel&) = delete;
    socket_channel& operator=(socket_channel&&) = delete;

    /// Sends bytes. Ignored once the channel has ended.
    void send(std::string_view bytes);

    /// Returns the bytes that the system has not taken yet.
    [[nodiscard]] std::size_t pending_bytes() const { return pending_.size() - pending_begin_; }

    [[nodiscard]] bool is_connected() const { return is_connected_; }

    /// Returns whether the peer has closed the connection and nothing is left to read, though `on_end` has
    /// not told so yet.
    [[nodiscard]] bool has_peer_closed() const;

    /// Stops and resumes reading, so that a sender that is faster than the reader is held back.
    void pause_reading();
    void resume_reading();

    /// Closes at once. Unread bytes of the other end make the system reset the connection. Nothing more is
    /// told.
    void close();

    /// Closes once all bytes are taken; reads and drops what still comes.
    void close_when_drained();

private:
    socket_channel(event_base* base, int fd, channel_sink& sink, bool is_connected);

    static void handle_read(evutil_socket_t fd, short what, void* self);
    static void handle_write(evutil_socket_t fd, short what, void* self);
    void read_bytes();
    void write_bytes();
    void wait_for_connection(std::chrono::milliseconds limit);
    void finish_connecting(bool is_timeout);
    void end(channel_end reason);

    channel_sink* sink_;
    int fd_;
    event_ptr read_event_;
    event_ptr write_event_;
    std::string pending_;
    std::size_t pending_begin_ = 0;
    bool is_connected_;
    bool is_closing_ = false;
    bool is_write_awaited_ = false;
};

} // namespace hemlocknotch::daemon
