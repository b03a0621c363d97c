#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;
struct evhttp_connection;

namespace hemlocknotch {

/// Frees an evhttp connection. A call in progress on it is dropped without its callback being called.
struct http_connection_deleter {
    void operator()(evhttp_connection* connection) const;
};

/// Owning pointer to an evhttp connection.
using http_connection_ptr = std::unique_ptr<evhttp_connection, http_connection_deleter>;

/// HTTP methods that the platform's interfaces use; `remove` is DELETE.
enum class http_method : std::uint8_t { get, put, post, remove };

/// One HTTP request.
struct http_call {
    http_method method = http_method::get;
    /// Path and query, percent-encoded.
    std::string target;
    std::string body;
    /// Media type of the body; if empty, no Content-Type header is sent.
    std::string content_type = {};
};

/// Result of a call.
struct http_answer {
    /// HTTP status; 0 if no answer came within the time limit or the connection failed.
    int status = 0;
    /// An answer came whose body exceeds the client's limit; `status` is 0.
    bool is_too_large = false;
    std::string body;
    /// Header values by lower-case name.
    std::map<std::string, std::string, std::less<>> headers;

    /// Returns the header `name` (lower case) as a number; 0 if it is missing or not a number.
    [[nodiscard]] std::uint64_t number(std::string_view name) const;
};

/// Client of one HTTP/1.1 server. A call has a connection to itself while it is in progress. Connections are
/// reused, except those that were idle or in use when a call ended without a complete answer. Use it on the
/// event loop's thread only.
class http_client {
public:
    using callback = std::function<void(const http_answer&)>;

    /// `base` must outlive the client.
    http_client(event_base* base, endpoint_address address);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends a request. `done` is called once, from the event loop, after `timeout` at the latest; it is not
    /// called if the client is destroyed first. Precondition: `timeout` is above zero.
    void send(const http_call& call, duration timeout, callback done);

private:
    class exchange;

    http_connection_ptr take_connection();
    void finish(exchange& value);

    event_base* base_;
    endpoint_address address_;
    std::vector<http_connection_ptr> idle_;
    std::list<std::unique_ptr<exchange>> running_;
};

/// Returns `text` percent-encoded for use in a path; slashes are not encoded.
std::string encode_path(std::string_view text);

} // namespace hemlocknotch
