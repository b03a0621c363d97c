#include "websocket_codec.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <utility>
#include <vector>

namespace hemlocknotch::detail {
namespace {

constexpr const char* resource = "/hemlocknotch/1";
constexpr const char* subprotocol = "hemlocknotch.1";

bool offers_subprotocol(const std::vector<std::string>& offered)
{
    for (const std::string& it : offered) {
        if (it == subprotocol) {
            return true;
        }
    }
    return false;
}

/// Implements both ends; `Endpoint` is websocketpp's client or server, with its transport that does no I/O.
template <class Endpoint>
class codec_base : public websocket_codec {
public:
    using connection_ptr = typename Endpoint::connection_ptr;

    codec_base(std::size_t max_message_bytes, websocket_callbacks callbacks)
        : callbacks_(std::move(callbacks))
    {
        endpoint_.clear_access_channels(websocketpp::log::alevel::all);
        endpoint_.clear_error_channels(websocketpp::log::elevel::all);
        endpoint_.set_max_message_size(max_message_bytes);
        endpoint_.set_write_handler(
            [this](const websocketpp::connection_hdl& /*handle*/, const char* bytes, std::size_t n) {
                callbacks_.on_output(bytes, n);
                return websocketpp::lib::error_code();
            });
        endpoint_.set_open_handler(
            [this](const websocketpp::connection_hdl& /*handle*/) { callbacks_.on_open(); });
        endpoint_.set_message_handler([this](const websocketpp::connection_hdl& /*handle*/,
                                             const typename Endpoint::message_ptr& message) {
            callbacks_.on_message(message->get_payload());
        });
        endpoint_.set_close_handler([this](const websocketpp::connection_hdl& /*handle*/) { end(); });
        endpoint_.set_fail_handler([this](const websocketpp::connection_hdl& /*handle*/) { end(); });
    }

    // The library's pending read owns a reference to the connection and is released only when the transport
    // is reported as failed.
    ~codec_base() override
    {
        callbacks_ = websocket_callbacks{[] {}, [](const std::string&) {}, [](const char*, std::size_t) {},
                                         [](const std::string&) {}};
        if (connection_) {
            connection_->fatal_error();
        }
    }

    codec_base(const codec_base&) = delete;
    codec_base& operator=(const codec_base&) = delete;
    codec_base(codec_base&&) = delete;
    codec_base& operator=(codec_base&&) = delete;

    void feed(const char* bytes, std::size_t n) override { connection_->read_all(bytes, n); }

    bool send(const std::string& payload) override
    {
        return !connection_->send(payload, websocketpp::frame::opcode::binary);
    }

    bool close(const std::string& reason) override
    {
        constexpr std::size_t max_reason_bytes = 120;
        websocketpp::lib::error_code ec;
        connection_->close(websocketpp::close::status::normal, reason.substr(0, max_reason_bytes), ec);
        return !ec;
    }

protected:
    Endpoint& endpoint() { return endpoint_; }

    connection_ptr& connection() { return connection_; }

private:
    void end()
    {
        std::string reason = connection_->get_ec().message();
        if (!connection_->get_remote_close_reason().empty()) {
            reason = "the peer closed: " + connection_->get_remote_close_reason();
        }
        callbacks_.on_end(reason);
    }

    websocket_callbacks callbacks_;
    Endpoint endpoint_;
    connection_ptr connection_;
};

class client_codec : public codec_base<websocketpp::client<websocketpp::config::core_client>> {
public:
    client_codec(const std::string& host_and_port, std::size_t max_message_bytes,
                 websocket_callbacks callbacks)
        : codec_base(max_message_bytes, std::move(callbacks))
    {
        websocketpp::lib::error_code ec;
        connection() = endpoint().get_connection("ws://" + host_and_port + resource, ec);
        if (connection()) {
            connection()->add_subprotocol(subprotocol, ec);
        }
    }

    bool is_valid() { return connection() != nullptr; }

    void start() override { endpoint().connect(connection()); }
};

class server_codec : public codec_base<websocketpp::server<websocketpp::config::core>> {
public:
    server_codec(std::size_t max_message_bytes, websocket_callbacks callbacks)
        : codec_base(max_message_bytes, std::move(callbacks))
    {
        endpoint().set_validate_handler(
            [this](const websocketpp::connection_hdl& /*handle*/) { return accept_handshake(); });
        connection() = endpoint().get_connection();
    }

    void start() override { connection()->start(); }

private:
    bool accept_handshake()
    {
        if (connection()->get_resource() != resource) {
            return false;
        }
        if (!offers_subprotocol(connection()->get_requested_subprotocols())) {
            return false;
        }
        connection()->select_subprotocol(subprotocol);
        return true;
    }
};

} // namespace

std::unique_ptr<websocket_codec> create_websocket_client(const std::string& host_and_port,
                                                         std::size_t max_message_bytes,
                                                         websocket_callbacks callbacks)
{
    auto codec = std::make_unique<client_codec>(host_and_port, max_message_bytes, std::move(callbacks));
    if (!codec->is_valid()) {
        return nullptr;
    }
    return codec;
}

std::unique_ptr<websocket_codec> create_websocket_server(std::size_t max_message_bytes,
                                                         websocket_callbacks callbacks)
{
    return std::make_unique<server_codec>(max_message_bytes, std::move(callbacks));
}

} // namespace hemlocknotch::detail
