#pragma once

#include <hemlocknotch/core/message.hpp>

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Bytes that have passed over a link since it began.
struct link_traffic {
    /// All bytes, framing included.
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    /// Of these, bytes of request and answer bodies.
    std::uint64_t sent_body_bytes = 0;
    std::uint64_t received_body_bytes = 0;
};

/// A connection between an entry and an agent that carries messages in order. Used by the event loop's thread
/// only. Destroying a link closes it without a signal.
class peer_link {
public:
    virtual ~peer_link() = default;

    /// Queues `value` for sending. Ignored once the link has closed.
    virtual void send(const message& value) = 0;

    /// Closes the link at once and emits `closed` with `reason`. Ignored once the link has closed.
    virtual void close(std::string_view reason) = 0;

    /// Returns the number of bytes queued and not yet taken by the system.
    [[nodiscard]] virtual std::size_t queued_bytes() const = 0;

    /// Returns the traffic so far.
    [[nodiscard]] virtual link_traffic traffic() const = 0;

    /// Emitted once, when messages can be sent. Not emitted where the link fails before.
    sigc::signal<void()> opened;

    /// Emitted for each message.
    sigc::signal<void(const message&)> received;

    /// Emitted once at the end, with the reason: the peer closed, the connection failed, a message did not
    /// decode or was too large, or `close` was called. The link may be destroyed from the handler's caller's
    /// next turn of the event loop on, not in the handler.
    sigc::signal<void(const std::string&)> closed;
};

} // namespace hemlocknotch
