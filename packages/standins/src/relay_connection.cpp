#include <hemlocknotch/standins/relay_connection.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <stdexcept>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr std::size_t max_unsent_bytes = 1024UL * 1024;

bufferevent* connect_to(event_base* base, const endpoint_address& target)
{
    sockaddr_storage storage{};
    int n = sizeof storage;
    const std::string text = target.to_string();
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&storage), &n) != 0) {
        throw std::runtime_error{"no address to pass on to: " + text};
    }
    bufferevent* it = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_socket_connect(it, reinterpret_cast<sockaddr*>(&storage), n);
    return it;
}

void send_without_delay(bufferevent* it)
{
    const int yes = 1;
    setsockopt(bufferevent_getfd(it), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

} // namespace

void relay_connection::bufferevent_deleter::operator()(bufferevent* it) const
{
    bufferevent_free(it);
}

relay_connection::relay_connection(event_base* base, int fd, const endpoint_address& target,
                                   std::function<void()> on_closed)
    : on_closed_{std::move(on_closed)},
      near_{bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)},
      far_{connect_to(base, target)}
{
    for (bufferevent* it : {near_.get(), far_.get()}) {
        bufferevent_setcb(it, on_readable, on_drained, on_event, this);
        bufferevent_enable(it, EV_READ | EV_WRITE);
        send_without_delay(it);
    }
}

void relay_connection::set_silent(bool is_silent)
{
    is_silent_ = is_silent;
    for (bufferevent* it : {near_.get(), far_.get()}) {
        if (is_silent) {
            bufferevent_disable(it, EV_READ | EV_WRITE);
        }
        else {
            bufferevent_enable(it, EV_READ | EV_WRITE);
        }
    }
}

void relay_connection::reset_when_destroyed()
{
    constexpr linger discard{.l_onoff = 1, .l_linger = 0};
    for (bufferevent* it : {near_.get(), far_.get()}) {
        setsockopt(bufferevent_getfd(it), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }
}

void relay_connection::set_one_way()
{
    set_silent(true);
    bufferevent_enable(near_.get(), EV_READ);
    bufferevent_enable(far_.get(), EV_WRITE);
}

bufferevent* relay_connection::other(const bufferevent* it) const
{
    return it == near_.get() ? far_.get() : near_.get();
}

void relay_connection::on_readable(bufferevent* from, void* self)
{
    bufferevent* to = static_cast<relay_connection*>(self)->other(from);
    bufferevent_write_buffer(to, bufferevent_get_input(from));
    if (evbuffer_get_length(bufferevent_get_output(to)) > max_unsent_bytes) {
        bufferevent_disable(from, EV_READ);
    }
}

void relay_connection::on_drained(bufferevent* to, void* self)
{
    auto* const connection = static_cast<relay_connection*>(self);
    if (connection->is_ending_) {
        connection->close();
        return;
    }
    if (!connection->is_silent_) {
        bufferevent_enable(connection->other(to), EV_READ);
    }
}

void relay_connection::on_event(bufferevent* from, short what, void* self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    auto* const connection = static_cast<relay_connection*>(self);
    bufferevent* const to = connection->other(from);
    const bool is_whole_sent = evbuffer_get_length(bufferevent_get_output(to)) == 0;
    if (is_whole_sent || connection->is_ending_ || (what & BEV_EVENT_ERROR) != 0) {
        connection->close();
        return;
    }
    connection->is_ending_ = true;
}

void relay_connection::close()
{
    const std::function<void()> on_closed = on_closed_;
    on_closed();
}

} // namespace hemlocknotch::standins
