#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cassert>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// An HTTP server on the loopback interface for tests. Records each request and passes it to one handler.
class test_http_server {
public:
    using handler = std::function<void(evhttp_request*)>;

    explicit test_http_server(event_base* base) : http_{evhttp_new(base), &evhttp_free}
    {
        evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", 0);
        assert(socket != nullptr);
        sockaddr_in address{};
        socklen_t size = sizeof address;
        const int failed =
            getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &size);
        assert(failed == 0);
        port_ = ntohs(address.sin_port);
        evhttp_set_allowed_methods(http_.get(),
                                   EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
        evhttp_set_gencb(http_.get(), &test_http_server::on_request, this);
    }

    [[nodiscard]] endpoint_address address() const
    {
        return *endpoint_address::parse("127.0.0.1:" + std::to_string(port_));
    }

    void set_handler(handler value) { handler_ = std::move(value); }

    /// Returns the targets of all requests so far, in order.
    [[nodiscard]] const std::vector<std::string>& targets() const { return targets_; }

    /// Returns the number of distinct connections that requests came over so far.
    [[nodiscard]] std::size_t connection_count() const { return peer_ports_.size(); }

    /// Sends the answer to `request`.
    static void reply(evhttp_request* request, int status, const std::string& body,
                      const std::vector<std::pair<std::string, std::string>>& headers = {})
    {
        for (const auto& [name, value] : headers) {
            evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
        }
        const std::unique_ptr<evbuffer, void (*)(evbuffer*)> buf{evbuffer_new(), &evbuffer_free};
        evbuffer_add(buf.get(), body.data(), body.size());
        evhttp_send_reply(request, status, "", buf.get());
    }

private:
    static void on_request(evhttp_request* request, void* self)
    {
        auto* that = static_cast<test_http_server*>(self);
        char* host = nullptr;
        std::uint16_t port = 0;
        evhttp_connection_get_peer(evhttp_request_get_connection(request), &host, &port);
        that->peer_ports_.insert(port);
        that->targets_.emplace_back(evhttp_request_get_uri(request));
        that->handler_(request);
    }

    std::unique_ptr<evhttp, void (*)(evhttp*)> http_;
    std::uint16_t port_ = 0;
    handler handler_;
    std::vector<std::string> targets_;
    std::set<std::uint16_t> peer_ports_;
};

} // namespace hemlocknotch
