#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/wire/peer_link.hpp>

#include "event_pointers.hpp"
#include "link_codec.hpp"
#include "websocket_codec.hpp"

#include <memory>
#include <string>

namespace hemlocknotch::detail {

/// A websocket link over one TCP connection, which a libevent bufferevent handles.
class websocket_link : public peer_link {
public:
    /// Creates the accepting end on the connected `socket`, which it takes ownership of.
    static std::unique_ptr<websocket_link> accept(event_base* base, evutil_socket_t socket);

    /// Creates the connecting end. A failure is reported by `closed` in a later iteration of the event loop.
    static std::unique_ptr<websocket_link> connect(event_base* base, const endpoint_address& address);

    ~websocket_link() override = default;
    websocket_link(const websocket_link&) = delete;
    websocket_link& operator=(const websocket_link&) = delete;
    websocket_link(websocket_link&&) = delete;
    websocket_link& operator=(websocket_link&&) = delete;

    void send(const message& value) override;
    void close(std::string_view reason) override;
    [[nodiscard]] std::size_t queued_bytes() const override;

    [[nodiscard]] link_traffic traffic() const override { return traffic_; }

private:
    websocket_link(event_base* base, bufferevent_pointer stream);

    static void on_readable(bufferevent* stream, void* self);
    static void on_stream_event(bufferevent* stream, short what, void* self);
    static void on_timeout(evutil_socket_t socket, short what, void* self);

    websocket_callbacks create_callbacks();
    void begin();
    void read_available();
    void on_payload(const std::string& payload);
    void end(const std::string& reason);

    bufferevent_pointer stream_;
    event_pointer timer_;
    std::unique_ptr<websocket_codec> websocket_;
    link_codec codec_;
    link_traffic traffic_;
    bool is_open_ = false;
    bool is_ended_ = false;
};

} // namespace hemlocknotch::detail
