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

/// Frees a connection of evhttp. A call that runs on it is dropped without its callback.
struct http_connection_deleter {
    void operator()(evhttp_connection* connection) const;
};

/// A connection of evhttp that is owned.
using http_connection_ptr = std::unique_ptr<evhttp_connection, http_connection_deleter>;

/// Methods that the platform's interfaces use.
enum class http_method : std::uint8_t { get, put, post, remove };

/// One call.
struct http_call {
    http_method method = http_method::get;
    /// Path and query, percent-encoded.
    std::string target;
    std::string body;
    /// Media type of the body; empty: not stated.
    std::string content_type = {};
};

/// How a call ended.
struct http_answer {
    /// Status of the answer; 0 where there was none in time or the connection broke.
    int status = 0;
    std::string body;
    /// Headers by lower-case name.
    std::map<std::string, std::string, std::less<>> headers;

    /// Returns the header `name` (lower case) as a number; 0 where it is missing or no number.
    [[nodiscard]] std::uint64_t number(std::string_view name) const;
};

/// Calls one HTTP/1.1 server. Each call has a connection of its own while it runs; connections are reused,
/// except after a call that had no whole answer. Used on the event loop's thread only.
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

    /// Makes a call. `done` is called once, from the event loop, at the latest after `limit`; not after the
    /// client is destroyed. Precondition: `limit` is above zero.
    void send(const http_call& call, duration limit, callback done);

private:
    class exchange;

    http_connection_ptr take_connection();
    void finish(exchange& value);

    event_base* base_;
    endpoint_address address_;
    std::vector<http_connection_ptr> idle_;
    std::list<std::unique_ptr<exchange>> running_;
};

/// Returns `text` percent-encoded for a path; slashes stay.
std::string encode_path(std::string_view text);

} // namespace hemlocknotch
