#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

// Included by C++17 and by C++20 sources: websocketpp, which implements this interface, does not compile as
// C++20.
namespace hemlocknotch::detail {

/// Callbacks from a websocket codec to its owner. The codec may call them from within any of its functions.
struct websocket_callbacks {
    /// The opening handshake has succeeded.
    std::function<void()> on_open;
    /// A binary message has been received.
    std::function<void(const std::string& payload)> on_message;
    /// Bytes are to be sent to the peer.
    std::function<void(const char* bytes, std::size_t n)> on_output;
    /// The websocket has closed or failed, for `reason`.
    std::function<void(const std::string& reason)> on_end;
};

/// One end of a websocket (RFC 6455) that does no I/O: its owner passes bytes in and out. Not thread-safe.
class websocket_codec {
public:
    virtual ~websocket_codec() = default;

    /// Starts the websocket; a client sends its opening handshake.
    virtual void start() = 0;

    /// Processes bytes received from the peer.
    virtual void feed(const char* bytes, std::size_t n) = 0;

    /// Sends a binary message. Returns false if the websocket is not open.
    virtual bool send(const std::string& payload) = 0;

    /// Starts the closing handshake. Returns false if the websocket is not open.
    virtual bool close(const std::string& reason) = 0;
};

/// Creates the client end for `host_and_port`. Returns null if that does not form a valid URI.
std::unique_ptr<websocket_codec> create_websocket_client(const std::string& host_and_port,
                                                         std::size_t max_message_bytes,
                                                         websocket_callbacks callbacks);

/// Creates the server end.
std::unique_ptr<websocket_codec> create_websocket_server(std::size_t max_message_bytes,
                                                         websocket_callbacks callbacks);

} // namespace hemlocknotch::detail
