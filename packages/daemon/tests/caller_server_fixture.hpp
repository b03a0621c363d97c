#pragma once

#include <hemlocknotch/wire/socket_address.hpp>

#include "gateway/caller_server.hpp"
#include "plain_dialect.hpp"
#include "start_error.hpp"
#include "test_loop.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {

using gateway::exchange_id;

/// Records the calls of a server.
class request_recorder final : public caller_request_sink {
public:
    void on_request(exchange_id exchange, std::shared_ptr<const gateway::caller_request> request) override
    {
        exchanges.push_back(exchange);
        requests.push_back(std::move(request));
        if (server != nullptr) {
            server->reply(exchange, {200, {}}, requests.back()->body);
        }
    }

    void on_caller_disconnected(exchange_id exchange) override { disconnected.push_back(exchange); }

    void on_caller_drained(gateway::exchange_id exchange) override { drained.push_back(exchange); }

    void on_malformed(int status, std::string_view /*reason*/) override { malformed.push_back(status); }

    /// Where set, each request is answered at once with its own body.
    caller_server* server = nullptr;
    std::vector<exchange_id> exchanges;
    std::vector<std::shared_ptr<const gateway::caller_request>> requests;
    std::vector<exchange_id> disconnected;
    std::vector<gateway::exchange_id> drained;
    std::vector<int> malformed;
};

struct server_fixture {
    server_fixture()
    {
        port = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<unsigned short> {
                BOOST_LEAF_AUTO(at, server.listen(*endpoint_address::parse("127.0.0.1:0")));
                return at.port();
            },
            [] { return static_cast<unsigned short>(0); });
        BOOST_REQUIRE(port != 0);
    }

    test_loop loop;
    plain_dialect dialect;
    request_recorder recorder;
    gateway::answer_memory memory;
    caller_server server{loop.base(), dialect, 100, recorder, memory};
    unsigned short port = 0;
};

/// A caller whose bytes are in the sockets before the server's loop runs again.
class blocking_client {
public:
    explicit blocking_client(unsigned short port) : fd_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        // Little is on its way to a caller that reads slowly.
        constexpr int buffer_size = 1 << 16;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
        const auto to =
            detail::socket_address::of(*endpoint_address::parse("127.0.0.1:" + std::to_string(port)));
        BOOST_REQUIRE(::connect(fd_, to.get(), static_cast<socklen_t>(to.length())) == 0);
    }

    ~blocking_client() { ::close(fd_); }

    blocking_client(const blocking_client&) = delete;
    blocking_client(blocking_client&&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;
    blocking_client& operator=(blocking_client&&) = delete;

    void send(const std::string& bytes) const
    {
        BOOST_REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(bytes.size()));
    }

    /// Returns what has arrived so far.
    std::string receive()
    {
        std::array<char, 4096> buf{};
        ssize_t n = 0;
        while ((n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT)) > 0) {
            received_.append(buf.data(), static_cast<std::size_t>(n));
        }
        is_closed_ = is_closed_ || n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return received_;
    }

    /// Takes up to `size` bytes of what has arrived, and forgets them. Returns how many.
    std::size_t skip(std::size_t size)
    {
        std::vector<char> buf(size);
        const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        is_closed_ = is_closed_ || n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    [[nodiscard]] bool is_closed() const { return is_closed_; }

    [[nodiscard]] int descriptor() const { return fd_; }

private:
    int fd_;
    std::string received_;
    bool is_closed_ = false;
};

/// Begin of a request: all but its framing and its end.
inline const std::string head = "POST /a/b HTTP/1.1\r\nHost: h\r\nId: 1\r\n";

} // namespace hemlocknotch::daemon
