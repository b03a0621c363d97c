#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

// Included by C++17 and C++20 sources alike; the implementation's library does not compile as C++20.
namespace hemlocknotch::detail {

/// What a websocket codec tells its owner. All functions may be called from within calls of the codec.
struct websocket_callbacks {
    /// The opening handshake is done.
    std::function<void()> on_open;
    /// A binary message has come.
    std::function<void(const std::string& payload)> on_message;
    /// Bytes have to go to the peer.
    std::function<void(const char* bytes, std::size_t n)> on_output;
    /// The websocket has ended, with the reason.
    std::function<void(const std::string& reason)> on_end;
};

/// One end of a websocket (RFC 6455) without any I/O: bytes in, bytes out. Used by one thread.
class websocket_codec {
public:
    virtual ~websocket_codec() = default;

    /// Begins; a client sends its opening handshake.
    virtual void start() = 0;

    /// Takes in bytes from the peer.
    virtual void feed(const char* bytes, std::size_t n) = 0;

    /// Sends a binary message. Returns false where the websocket is not open.
    virtual bool send(const std::string& payload) = 0;

    /// Starts the closing handshake. Returns false where the websocket is not open.
    virtual bool close(const std::string& reason) = 0;
};

/// Makes the end that connects to `host_and_port`. Returns null where that forms no URI.
std::unique_ptr<websocket_codec> create_websocket_client(const std::string& host_and_port,
                                                         std::size_t max_message_bytes,
                                                         websocket_callbacks callbacks);

/// Makes the end that accepts.
std::unique_ptr<websocket_codec> create_websocket_server(std::size_t max_message_bytes,
                                                         websocket_callbacks callbacks);

} // namespace hemlocknotch::detail
