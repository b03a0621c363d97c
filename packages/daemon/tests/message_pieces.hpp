#pragma once

#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Handles events without a pause between them until `is_done` returns true.
inline void poll_until(const test_loop& loop, const std::function<bool()>& is_done)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    while (!is_done()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
}

/// Handles events until `progress` returns the same number for several passes, since a pass handles one
/// priority only.
inline void poll_until_quiet(const test_loop& loop, const std::function<std::size_t()>& progress)
{
    constexpr int quiet_passes = 8;
    auto before = progress();
    for (int n = 0; n < quiet_passes; ++n) {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        const auto now = progress();
        n = now == before ? n : -1;
        before = now;
    }
}

/// Lets the connection be reset when `fd` is closed, so that its port is free at once.
inline void reset_at_close(int fd)
{
    constexpr linger discard{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
}

/// One end of a connection whose other end is in this process too.
class piece_sender {
public:
    piece_sender(const test_loop& loop, int fd) : loop_{loop}, fd_{fd}
    {
        constexpr int enabled = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }

    /// Sends `bytes` so that each part that ends at one of `cuts` is read by itself.
    void send(std::string_view bytes, const std::vector<std::size_t>& cuts)
    {
        std::size_t begin = 0;
        for (const auto end : cuts) {
            send_piece(bytes.substr(begin, end - begin));
            begin = end;
        }
        send_piece(bytes.substr(begin));
    }

private:
    using name_function = int (*)(int, sockaddr*, socklen_t*);

    static std::uint64_t name_of(name_function name, int fd)
    {
        sockaddr_in at{};
        socklen_t length = sizeof at;
        const auto is_known = name(fd, reinterpret_cast<sockaddr*>(&at), &length) == 0;
        return is_known && at.sin_family == AF_INET
                   ? std::uint64_t{at.sin_addr.s_addr} << 16U | std::uint64_t{at.sin_port}
                   : 0;
    }

    /// Returns the descriptor of the other end, or -1.
    [[nodiscard]] int other_end()
    {
        constexpr int max_descriptors = 128;
        const auto local = name_of(::getsockname, fd_);
        const auto peer = name_of(::getpeername, fd_);
        const auto is_other = [&](int fd) {
            return peer != 0 && name_of(::getpeername, fd) == local && name_of(::getsockname, fd) == peer;
        };
        for (int fd = is_other(other_) ? other_ : 0; fd < max_descriptors; ++fd) {
            if (is_other(fd)) {
                other_ = fd;
                return fd;
            }
        }
        return -1;
    }

    void send_piece(std::string_view bytes)
    {
        const auto other = other_end();
        const auto arrived = arrived_at(other) + bytes.size();
        if (bytes.empty() || ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
            return;
        }
        poll_until(loop_, [&] {
            int unread = 0;
            return other < 0 || other_end() != other ||
                   (arrived_at(other) >= arrived && ::ioctl(other, FIONREAD, &unread) == 0 && unread == 0);
        });
    }

    /// Returns how many bytes have arrived at the socket `fd`, read or not.
    static std::uint64_t arrived_at(int fd)
    {
        tcp_info info{};
        socklen_t length = sizeof info;
        ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length);
        return info.tcpi_bytes_received;
    }

    const test_loop& loop_;
    int fd_;
    int other_ = -1;
};

/// Draws messages and places to cut them.
class message_generator {
public:
    explicit message_generator(unsigned seed) : random_{seed} {}

    /// Returns a number below `n`.
    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>{0, n - 1}(random_); }

    template <std::size_t n>
    std::string_view pick(const std::array<std::string_view, n>& from)
    {
        return from.at(draw(n));
    }

    std::string body()
    {
        constexpr std::array<std::string_view, 7> parts{
            "a", "\r\n", "0\r\n\r\n", "\r\n x\r\n\r\n", "0", "GET / HTTP/1.1\r\n", "xyz"};
        std::string out;
        for (auto n = draw(6); n > 0; --n) {
            out += pick(parts);
        }
        return out;
    }

    /// Returns `body` as chunks with a last one, and with trailer fields at times.
    std::string chunked(std::string_view body)
    {
        constexpr std::array<std::string_view, 6> extensions{"", "", "", ";a", ";a=b", " ; a = \"b;\\\"c\""};
        constexpr std::array<std::string_view, 5> trailers{"", "", "", "T: t\r\n", "T: t\r\nU:\r\n"};
        constexpr std::array<std::string_view, 3> zeros{"", "", "00"};
        constexpr std::string_view digits = "0123456789aBcDeF";
        std::string out;
        while (!body.empty()) {
            const auto n = 1 + draw(std::min<std::size_t>(body.size(), 15));
            out += std::string{pick(zeros)} + digits[n] + std::string{pick(extensions)} + "\r\n";
            out += std::string{body.substr(0, n)} + "\r\n";
            body.remove_prefix(n);
        }
        return out + std::string{pick(zeros)} + "0" + std::string{pick(extensions)} + "\r\n" +
               std::string{pick(trailers)} + "\r\n";
    }

    /// Returns some sound fields that concern neither the framing nor the connection.
    std::string fields()
    {
        constexpr std::array<std::string_view, 5> from{
            "A: a\r\n", "B:\r\n", "Long-Name-Of-A-Field:  v \t w \r\n", "C: \"q\", d\r\n", "E: \xc3\xa9\r\n"};
        std::string out;
        for (auto n = draw(4); n > 0; --n) {
            out += pick(from);
        }
        return out;
    }

    /// Changes some bytes, so that the message is mostly malformed.
    std::string damage(std::string bytes)
    {
        constexpr std::array<std::string_view, 12> parts{"\r", "\n",   "\r\n",  "0",      ":", " ",
                                                         "\"", "\xff", "\r\n ", "f;a=\"", "",  "\r\n\r\n"};
        for (auto n = 1 + draw(3); n > 0; --n) {
            const auto at = draw(bytes.size());
            bytes.replace(at, draw(std::min<std::size_t>(4, bytes.size() - at)), pick(parts));
        }
        return bytes;
    }

    /// Returns places to cut `size` bytes, in order.
    std::vector<std::size_t> cuts(std::size_t size)
    {
        const auto is_bytewise = draw(8) == 0;
        std::vector<std::size_t> out;
        for (std::size_t n = 1; n < size; ++n) {
            if (is_bytewise || draw(12) == 0) {
                out.push_back(n);
            }
        }
        return out;
    }

private:
    std::minstd_rand random_;
};

} // namespace hemlocknotch::daemon
