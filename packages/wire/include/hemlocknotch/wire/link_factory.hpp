#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/wire/peer_link.hpp>

#include <cstddef>
#include <functional>
#include <memory>

struct event_base;

namespace hemlocknotch {

/// Maximum size of an encoded message on a link, in bytes.
inline constexpr std::size_t max_message_bytes = std::size_t{32} << 20U;

/// Accepts links on one address until it is destroyed. Use it on the event loop's thread only.
class link_listener {
public:
    virtual ~link_listener() = default;

    /// Returns the address that it listens on; if port 0 was requested, with the port that the system chose.
    [[nodiscard]] virtual endpoint_address address() const = 0;

    /// Emitted for each accepted link, before its handshake; `peer_link::opened` follows. A handler has to
    /// store the pointer: a link that nothing owns is closed.
    sigc::signal<void(const std::shared_ptr<peer_link>&)> accepted;
};

/// Creates links and listeners. Use it on the event loop's thread only.
class link_factory {
public:
    virtual ~link_factory() = default;

    /// Starts to connect to `address` and returns the link, which emits `opened` or `closed` later, never
    /// from within this call.
    virtual std::unique_ptr<peer_link> connect(const endpoint_address& address) = 0;

    /// Listens on `address`. Returns null if the system refuses the address.
    virtual std::unique_ptr<link_listener> listen(const endpoint_address& address) = 0;
};

/// Creates a factory of websocket links over libevent's bufferevents on `base`, which must outlive the
/// factory and all links and listeners from it.
std::unique_ptr<link_factory> create_websocket_link_factory(event_base* base);

} // namespace hemlocknotch
