#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/connection_listener.hpp>
#include <hemlocknotch/standins/event_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace hemlocknotch::standins {

/// What an `endless_endpoint` sends after each request.
struct endless_answer {
    /// Sent once. "{id}" stands for the request's id.
    std::string begin;
    /// Sent again and again after it.
    std::string filler;
    /// Time between two fillers. Zero: they are sent as fast as the connection takes them.
    duration pause{};
};

/// Stand-in of a server in trouble: it answers each request with bytes that never end, until the client
/// closes the connection. One thread.
class endless_endpoint {
public:
    /// Listens at `address`. The request's id is the value of the header `id_header`. Throws
    /// std::runtime_error where it cannot listen. `base` must outlive it.
    endless_endpoint(event_base* base, const endpoint_address& address, std::string id_header);
    ~endless_endpoint();
    endless_endpoint(const endless_endpoint&) = delete;
    endless_endpoint(endless_endpoint&&) = delete;
    endless_endpoint& operator=(const endless_endpoint&) = delete;
    endless_endpoint& operator=(endless_endpoint&&) = delete;

    [[nodiscard]] const endpoint_address& address() const { return listener_.address(); }

    /// Returns the number of bytes that the network has taken so far.
    [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }

    /// Returns the number of requests so far.
    [[nodiscard]] std::size_t request_count() const { return request_count_; }

    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

    endless_answer answer;
    /// Requests by id, each of which counts as executed.
    std::map<std::string, unsigned> executions;

private:
    struct connection;

    void remove(const connection* it);

    event_base* base_;
    std::string id_header_;
    std::list<std::unique_ptr<connection>> connections_;
    connection_listener listener_;
    std::uint64_t sent_bytes_ = 0;
    std::size_t request_count_ = 0;
};

} // namespace hemlocknotch::standins
