#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace hemlocknotch::standins {

/// A request that a server has received, not yet answered. A view: valid until it is answered, by exactly one
/// of `http_server`'s handler's calls to `reply`, `reply_json` or by a `response_stream`. One thread.
class http_request {
public:
    explicit http_request(evhttp_request* request) : request_{request} {}

    /// Returns the method in capitals.
    [[nodiscard]] std::string method() const;

    /// Returns the path as sent, without the query.
    [[nodiscard]] std::string path() const;

    /// Returns path and query as sent.
    [[nodiscard]] std::string target() const;

    /// Returns the query's first value of `name`, or nothing.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;

    /// Returns the query's value of `name` as a number; nothing where it is absent or none.
    [[nodiscard]] std::optional<std::uint64_t> query_number(std::string_view name) const;

    /// Returns the value of the header `name`, or nothing.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;

    /// Returns the body.
    [[nodiscard]] std::string body() const;

    /// Adds a header to the answer.
    void add_answer_header(std::string_view name, std::string_view value) const;

    /// Answers with `status` and `body`.
    void reply(int status, std::string_view body) const;

    /// Answers with `status` and a JSON body.
    void reply_json(int status, const nlohmann::json& body) const;

    /// Closes the connection without an answer.
    void drop() const;

    /// Returns the libevent request.
    [[nodiscard]] evhttp_request* get() const { return request_; }

private:
    evhttp_request* request_;
};

/// An answer that is sent in parts. Aborted on destruction unless finished. One thread.
class response_stream {
public:
    /// Sends status line and headers of an answer to `request`.
    response_stream(http_request request, int status);
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    response_stream(response_stream&&) = delete;
    response_stream& operator=(response_stream&&) = delete;
    ~response_stream();

    /// Returns whether the connection to the client still stands and the answer is not finished.
    [[nodiscard]] bool is_open() const;

    /// Sends `bytes`, if any and if the connection still stands.
    void write(std::string_view bytes);

    /// Sends the final chunk.
    void finish();

    /// Closes the connection without a final chunk.
    void abort();

private:
    evhttp_request* request_;
};

/// An HTTP/1.1 server. One thread.
class http_server {
public:
    using handler = std::function<void(const http_request&)>;

    /// Makes a server whose requests go to `on_request`. `base` must outlive it.
    http_server(event_base* base, handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// Listens at `address`; with port 0 at a port that the system chooses. Throws std::runtime_error where
    /// that fails.
    void listen(const endpoint_address& address);

    /// Returns where the server listens. Precondition: `listen` has been called.
    [[nodiscard]] const endpoint_address& address() const { return *address_; }

    /// Refuses new connections until `listen` is called again.
    void close_listener();

    /// Closes every connection, whatever is in progress on it, and refuses new ones until `listen` is called
    /// again. No response_stream of this server may exist.
    void close_all();

private:
    struct server_deleter {
        void operator()(evhttp* it) const;
    };

    static void on_any_request(evhttp_request* request, void* self);
    void make_server();

    event_base* base_;
    handler on_request_;
    std::unique_ptr<evhttp, server_deleter> server_;
    std::optional<endpoint_address> address_;
    evhttp_bound_socket* listener_ = nullptr;
};

/// Reads an option's value as an address to listen at. Throws std::runtime_error that names the option's
/// form.
endpoint_address listening_address(std::string_view text);

/// Writes the line that tells a starter where `name`s listen: `{"listening": {"http": "127.0.0.1:41001"}}`.
void print_listening(const nlohmann::json& addresses);

} // namespace hemlocknotch::standins
