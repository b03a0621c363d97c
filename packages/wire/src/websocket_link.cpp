#include "websocket_link.hpp"

#include <hemlocknotch/wire/link_factory.hpp>
#include <hemlocknotch/wire/message_codec.hpp>
#include <hemlocknotch/wire/socket_address.hpp>

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cassert>
#include <cstring>
#include <utility>

namespace hemlocknotch::detail {
namespace {

constexpr timeval handshake_timeout{.tv_sec = 3, .tv_usec = 0};

void send_without_delay(evutil_socket_t socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

bufferevent_pointer create_stream(event_base* base, evutil_socket_t socket)
{
    bufferevent_pointer stream{
        bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)};
    assert(stream != nullptr);
    return stream;
}

/// Starts to connect. Returns false if that fails at once.
bool start_connecting(bufferevent* stream, const endpoint_address& address)
{
    const socket_address target = socket_address::of(address);
    return bufferevent_socket_connect(stream, target.get(), target.length()) == 0;
}

} // namespace

websocket_link::websocket_link(event_base* base, bufferevent_pointer stream)
    : stream_{std::move(stream)}, timer_{event_new(base, -1, 0, &websocket_link::on_timeout, this)}
{
    assert(timer_ != nullptr);
    bufferevent_setcb(stream_.get(), &websocket_link::on_readable, nullptr, &websocket_link::on_stream_event,
                      this);
    event_add(timer_.get(), &handshake_timeout);
}

std::unique_ptr<websocket_link> websocket_link::accept(event_base* base, evutil_socket_t socket)
{
    std::unique_ptr<websocket_link> it{new websocket_link{base, create_stream(base, socket)}};
    it->websocket_ = create_websocket_server(max_message_bytes, it->create_callbacks());
    it->begin();
    return it;
}

std::unique_ptr<websocket_link> websocket_link::connect(event_base* base, const endpoint_address& address)
{
    constexpr evutil_socket_t no_socket_yet = -1;
    std::unique_ptr<websocket_link> it{new websocket_link{base, create_stream(base, no_socket_yet)}};
    it->websocket_ = create_websocket_client(address.to_string(), max_message_bytes, it->create_callbacks());
    assert(it->websocket_ != nullptr);
    if (!start_connecting(it->stream_.get(), address)) {
        constexpr timeval immediately{.tv_sec = 0, .tv_usec = 0};
        event_add(it->timer_.get(), &immediately);
    }
    return it;
}

websocket_callbacks websocket_link::create_callbacks()
{
    websocket_callbacks callbacks;
    callbacks.on_open = [this] {
        is_open_ = true;
        event_del(timer_.get());
        opened.emit();
    };
    callbacks.on_message = [this](const std::string& payload) { on_payload(payload); };
    callbacks.on_output = [this](const char* bytes, std::size_t n) {
        traffic_.sent_bytes += n;
        bufferevent_write(stream_.get(), bytes, n);
    };
    callbacks.on_end = [this](const std::string& reason) { end(reason); };
    return callbacks;
}

void websocket_link::begin()
{
    send_without_delay(bufferevent_getfd(stream_.get()));
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    websocket_->start();
}

void websocket_link::send(const message& value)
{
    if (is_ended_ || !is_open_) {
        return;
    }
    if (websocket_->send(codec_.encode(value))) {
        traffic_.sent_body_bytes += body_bytes_of(value);
    }
}

void websocket_link::close(std::string_view reason)
{
    end(std::string{reason});
}

std::size_t websocket_link::queued_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(stream_.get()));
}

void websocket_link::on_readable(bufferevent* /*stream*/, void* self)
{
    static_cast<websocket_link*>(self)->read_available();
}

void websocket_link::on_stream_event(bufferevent* /*stream*/, short what, void* self)
{
    auto* const it = static_cast<websocket_link*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        it->begin();
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        it->read_available();
        it->end("the peer closed the connection");
        return;
    }
    it->end(std::string{"the connection failed: "} + evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

void websocket_link::on_timeout(evutil_socket_t /*socket*/, short /*what*/, void* self)
{
    static_cast<websocket_link*>(self)->end("the link could not be opened in time");
}

void websocket_link::read_available()
{
    evbuffer* const input = bufferevent_get_input(stream_.get());
    while (!is_ended_ && evbuffer_get_length(input) > 0) {
        const std::size_t n = evbuffer_get_contiguous_space(input);
        assert(n > 0);
        const auto* const bytes =
            reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
        traffic_.received_bytes += n;
        websocket_->feed(bytes, n);
        evbuffer_drain(input, n);
    }
}

void websocket_link::on_payload(const std::string& payload)
{
    if (is_ended_) {
        return;
    }
    const decoded_frame frame = codec_.decode(payload);
    if (frame.kind == frame_kind::malformed) {
        end("a message of " + std::to_string(payload.size()) + " bytes did not decode");
        return;
    }
    if (frame.kind == frame_kind::message) {
        traffic_.received_body_bytes += body_bytes_of(frame.content);
        received.emit(frame.content);
    }
}

void websocket_link::end(const std::string& reason)
{
    if (is_ended_) {
        return;
    }
    is_ended_ = true;
    event_del(timer_.get());
    if (is_open_) {
        websocket_->close(reason);
        bufferevent_flush(stream_.get(), EV_WRITE, BEV_FLUSH);
    }
    bufferevent_disable(stream_.get(), EV_READ);
    closed.emit(reason);
}

} // namespace hemlocknotch::detail
