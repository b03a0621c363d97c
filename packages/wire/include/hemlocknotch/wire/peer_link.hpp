#pragma once

#include <hemlocknotch/core/message.hpp>

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Bytes that have passed over a link since it was created.
struct link_traffic {
    /// All bytes, framing included.
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    /// The part of these that is request and answer bodies.
    std::uint64_t sent_body_bytes = 0;
    std::uint64_t received_body_bytes = 0;
};

/// A connection between an entry and an agent that delivers messages in order. Use it on the event loop's
/// thread only. Destroying a link closes it without emitting `closed`.
class peer_link {
public:
    virtual ~peer_link() = default;

    /// Queues `value` for sending. Does nothing unless the link is open.
    virtual void send(const message& value) = 0;

    /// Closes the link and emits `closed` with `reason` within the call. Does nothing if the link has closed.
    virtual void close(std::string_view reason) = 0;

    /// Returns the number of bytes queued that the system has not yet accepted.
    [[nodiscard]] virtual std::size_t queued_bytes() const = 0;

    /// Returns the number of bytes sent and received since the link was created.
    [[nodiscard]] virtual link_traffic traffic() const = 0;

    /// Emitted once, when messages can be sent. Not emitted if the link fails before that.
    sigc::signal<void()> opened;

    /// Emitted for each message received.
    sigc::signal<void(const message&)> received;

    /// Emitted once when the link ends, with the reason: the peer closed it, the connection failed, a message
    /// did not decode or was too large, or `close` was called. Do not destroy the link in the handler, but in
    /// a later iteration of the event loop.
    sigc::signal<void(const std::string&)> closed;
};

} // namespace hemlocknotch
