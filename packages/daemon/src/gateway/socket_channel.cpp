#include "socket_channel.hpp"

#include <hemlocknotch/wire/socket_address.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <cerrno>

namespace hemlocknotch::daemon {
namespace {

/// Maximum number of bytes per read: a few prompts, or some hundred events of a stream.
constexpr std::size_t read_size = std::size_t{64} << 10U;
/// A connection is broken when sent bytes stay unacknowledged for this time, which is shorter than the time
/// after which an instance counts as unreachable (3 s).
constexpr int unacknowledged_timeout_ms = 2500;
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

template <class Value>
void set_option(int fd, int level, int name, Value value)
{
    // Without an option the connection is slower, or a dead peer is detected later; answers stay correct.
    static_cast<void>(setsockopt(fd, level, name, &value, sizeof value));
}

void set_options(int fd)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

/// Returns whether connecting has ended, successfully or not.
bool has_finished_connecting(int fd)
{
    pollfd it{fd, POLLOUT, 0};
    return ::poll(&it, 1, 0) > 0;
}

} // namespace

std::shared_ptr<socket_channel> socket_channel::adopt(event_base* base, int fd, channel_sink& sink,
                                                      gateway::answer_memory& memory)
{
    set_options(fd);
    std::shared_ptr<socket_channel> out{new socket_channel{base, fd, sink, true}};
    out->holding_.emplace(memory);
    event_add(out->read_event_.get(), nullptr);
    out->closed_event_.reset(event_new(base, fd, EV_CLOSED, handle_peer_closed, out.get()));
    assert(out->closed_event_);
    event_add(out->closed_event_.get(), nullptr);
    return out;
}

std::shared_ptr<socket_channel> socket_channel::connect(event_base* base, const endpoint_address& address,
                                                        std::chrono::milliseconds timeout, channel_sink& sink)
{
    const auto to = detail::socket_address::of(address);
    const int fd = ::socket(to.get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return nullptr;
    }
    std::shared_ptr<socket_channel> out{new socket_channel{base, fd, sink, false}};
    set_options(fd);
    if (::connect(fd, to.get(), static_cast<socklen_t>(to.length())) != 0 && errno != EINPROGRESS) {
        return nullptr;
    }
    out->wait_for_connection(timeout);
    return out;
}

socket_channel::socket_channel(event_base* base, int fd, channel_sink& sink, bool is_connected)
    : sink_{&sink},
      fd_{fd},
      read_event_{event_new(base, fd, EV_READ | EV_PERSIST, handle_read, this)},
      write_event_{event_new(base, fd, EV_WRITE, handle_write, this)},
      is_connected_{is_connected}
{
    assert(read_event_ && write_event_);
    set_priority(*read_event_, event_priority::request);
    set_priority(*write_event_, event_priority::request);
}

socket_channel::~socket_channel()
{
    close();
}

void socket_channel::send(std::string_view bytes)
{
    if (fd_ < 0 || is_closing_ || bytes.empty()) {
        return;
    }
    if (is_connected_ && pending_bytes() == 0) {
        const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        // The next read reports an error, outside of this call.
        note_error(n);
    }
    if (bytes.empty()) {
        return;
    }
    if (pending_begin_ > pending_bytes()) {
        // A peer that never takes all would make the buffer grow by all that it has taken.
        pending_.erase(0, pending_begin_);
        pending_begin_ = 0;
    }
    pending_ += bytes;
    note_pending();
    if (is_connected_ && !is_write_event_added_) {
        is_write_event_added_ = true;
        event_add(write_event_.get(), nullptr);
    }
}

ssize_t socket_channel::peek() const
{
    char next = 0;
    const auto n = ::recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    note_error(n);
    return n;
}

bool socket_channel::note_error(ssize_t n) const
{
    const auto is_error = n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    has_failed_ = has_failed_ || is_error;
    return is_error;
}

bool socket_channel::has_peer_closed() const
{
    return fd_ < 0 || peek() == 0 || has_failed_;
}

bool socket_channel::has_unread_bytes() const
{
    return fd_ >= 0 && peek() > 0;
}

bool socket_channel::is_quiet() const
{
    return fd_ >= 0 && peek() < 0 && !has_failed_;
}

void socket_channel::pause_reading()
{
    if (fd_ >= 0) {
        event_del(read_event_.get());
    }
}

void socket_channel::resume_reading()
{
    if (fd_ >= 0 && is_connected_) {
        event_add(read_event_.get(), nullptr);
    }
}

void socket_channel::close()
{
    sink_ = nullptr;
    if (fd_ < 0) {
        return;
    }
    // The events are destroyed before the descriptor is closed, since the kernel may reuse its number.
    read_event_.reset();
    write_event_.reset();
    closed_event_.reset();
    ::close(fd_);
    fd_ = -1;
    pending_ = {};
    pending_begin_ = 0;
    note_pending();
}

void socket_channel::reset()
{
    if (fd_ >= 0) {
        set_option(fd_, SOL_SOCKET, SO_LINGER, linger{.l_onoff = 1, .l_linger = 0});
    }
    close();
}

void socket_channel::close_when_drained()
{
    if (fd_ < 0) {
        return;
    }
    is_closing_ = true;
    if (pending_bytes() == 0) {
        ::shutdown(fd_, SHUT_WR);
    }
}

void socket_channel::handle_read(evutil_socket_t /*fd*/, short /*what*/, void* self)
{
    const auto that = static_cast<socket_channel*>(self)->shared_from_this();
    that->read_bytes();
}

void socket_channel::handle_write(evutil_socket_t /*fd*/, short what, void* self)
{
    const auto that = static_cast<socket_channel*>(self)->shared_from_this();
    if (that->is_connected_) {
        that->write_bytes();
    }
    else {
        that->finish_connecting((what & EV_TIMEOUT) != 0);
    }
}

void socket_channel::handle_peer_closed(evutil_socket_t /*fd*/, short /*what*/, void* self)
{
    const auto that = static_cast<socket_channel*>(self)->shared_from_this();
    if (that->sink_ != nullptr) {
        that->sink_->on_peer_closed();
    }
}

void socket_channel::read_bytes()
{
    static std::array<char, read_size> buf;
    const auto n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n > 0) {
        if (!is_closing_ && sink_ != nullptr) {
            sink_->on_bytes({buf.data(), static_cast<std::size_t>(n)});
        }
        return;
    }
    if (note_error(n) || n == 0) {
        end(has_failed_ ? channel_end::broken : channel_end::orderly);
    }
}

void socket_channel::wait_for_connection(std::chrono::milliseconds timeout)
{
    timeval tv{};
    tv.tv_sec = timeout.count() / 1000;
    tv.tv_usec = timeout.count() % 1000 * 1000;
    is_write_event_added_ = true;
    event_add(write_event_.get(), &tv);
}

void socket_channel::finish_connecting(bool is_timeout)
{
    is_write_event_added_ = false;
    int error = 0;
    socklen_t length = sizeof error;
    // libevent drops the readiness of an event that waits to be handled when its timeout passes.
    const auto is_too_late = is_timeout && !has_finished_connecting(fd_);
    if (is_too_late || getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        return end(channel_end::not_connected);
    }
    is_connected_ = true;
    event_add(read_event_.get(), nullptr);
    if (sink_ != nullptr) {
        sink_->on_connected();
    }
    if (fd_ >= 0) {
        write_bytes();
    }
}

void socket_channel::write_bytes()
{
    is_write_event_added_ = false;
    while (pending_bytes() > 0) {
        const auto n = ::send(fd_, pending_.data() + pending_begin_, pending_bytes(), MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                is_write_event_added_ = true;
                event_add(write_event_.get(), nullptr);
                return;
            }
            return end(channel_end::broken);
        }
        pending_begin_ += static_cast<std::size_t>(n);
    }
    pending_ = {};
    pending_begin_ = 0;
    note_pending();
    if (is_closing_) {
        ::shutdown(fd_, SHUT_WR);
    }
    else if (sink_ != nullptr) {
        sink_->on_drained();
    }
}

void socket_channel::note_pending()
{
    if (holding_) {
        is_over_memory_ = !holding_->set(pending_bytes() == 0 ? 0 : pending_.capacity());
    }
}

void socket_channel::end(channel_end reason)
{
    auto* sink = sink_;
    reason == channel_end::orderly ? close() : reset();
    if (sink != nullptr) {
        sink->on_end(reason);
    }
}

} // namespace hemlocknotch::daemon
