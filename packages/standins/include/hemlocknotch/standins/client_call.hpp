#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace hemlocknotch::standins {

/// What a client sends.
struct call_request {
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// What a client has received of an answer's head.
struct call_head {
    int status = 0;
    /// Values of headers; empty where absent.
    std::string verdict;
    std::string retry_after;
    std::string request_id;
    /// Whether the end of the body can be told from a broken connection.
    bool is_framed = false;
};

/// One HTTP call on a connection of its own. Destroying it closes the connection. One thread.
class client_call {
public:
    struct callbacks {
        /// The status line and headers have come.
        std::function<void(const call_head&)> on_head;
        /// Some bytes of the body have come.
        std::function<void(std::string_view)> on_bytes;
        /// The call is over, once. With `is_whole` the answer came to its proper end. Must not destroy the
        /// call before it returns.
        std::function<void(bool is_whole)> on_end;
    };

    /// Sends `request` to `address`. Where that fails at once, `on_end` is called before this returns.
    client_call(event_base* base, const endpoint_address& address, const call_request& request, callbacks on);
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;
    client_call(client_call&&) = delete;
    client_call& operator=(client_call&&) = delete;
    ~client_call() = default;

private:
    struct connection_deleter {
        void operator()(evhttp_connection* it) const;
    };

    static int on_headers(evhttp_request* request, void* self);
    static void on_chunk(evhttp_request* request, void* self);
    static void on_done(evhttp_request* request, void* self);

    callbacks on_;
    bool has_head_ = false;
    std::unique_ptr<evhttp_connection, connection_deleter> connection_;
};

} // namespace hemlocknotch::standins
