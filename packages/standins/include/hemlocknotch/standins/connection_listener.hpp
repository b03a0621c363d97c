#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <functional>
#include <memory>

struct event_base;
struct evconnlistener;
struct sockaddr;

namespace hemlocknotch::standins {

/// Listens for TCP connections and hands their sockets over. One thread.
class connection_listener {
public:
    /// Listens at `address`; port 0 lets the system choose one. `accept` becomes the owner of each accepted,
    /// non-blocking socket. Throws std::runtime_error where it cannot listen. `base` must outlive it.
    connection_listener(event_base* base, const endpoint_address& address, std::function<void(int)> accept);
    connection_listener(const connection_listener&) = delete;
    connection_listener& operator=(const connection_listener&) = delete;
    connection_listener(connection_listener&&) = delete;
    connection_listener& operator=(connection_listener&&) = delete;
    ~connection_listener() = default;

    /// Returns where it listens, with the actual port.
    [[nodiscard]] const endpoint_address& address() const { return address_; }

private:
    struct deleter {
        void operator()(evconnlistener* it) const;
    };

    static void on_accepted(evconnlistener* listener, int fd, sockaddr* from, int n, void* self);

    std::function<void(int)> accept_;
    endpoint_address address_;
    std::unique_ptr<evconnlistener, deleter> listener_;
};

} // namespace hemlocknotch::standins
