#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 over loopback, with one thread for each connection, for the stand-ins of a review case.
namespace review {

/// Returns the seconds since the first call.
inline double seconds()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

inline void pause_for(double s)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline bool is_same_text(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether the whole body was received.
    bool is_complete = false;

    [[nodiscard]] std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (is_same_text(key, name)) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] std::string method() const { return start_line.substr(0, start_line.find(' ')); }

    [[nodiscard]] std::string target() const
    {
        const auto begin = start_line.find(' ') + 1;
        return start_line.substr(begin, start_line.find(' ', begin) - begin);
    }

    [[nodiscard]] int status() const
    {
        return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9);
    }
};

/// Owner of one connected socket.
class connection {
public:
    explicit connection(int fd) : fd_{fd} {}

    connection(connection&& other) noexcept
        : fd_{std::exchange(other.fd_, -1)}, input_{std::move(other.input_)}
    {
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection& operator=(connection&&) = delete;

    ~connection() { close(); }

    /// Connects to a port of 127.0.0.1. `receive_buffer` in bytes; 0 leaves the default.
    static std::optional<connection> open(int port, int receive_buffer = 0)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0) {
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
            ::close(fd);
            return std::nullopt;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return connection{fd};
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Reads what has arrived, at most `limit` bytes, into the input. Returns the number of bytes; 0 at the
    /// end of the channel, -1 on a reset, -2 where nothing arrives until `until`.
    ssize_t read(double until, std::size_t limit = 65536)
    {
        const auto left = until - seconds();
        pollfd it{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return -2;
        }
        std::string buf(limit, '\0');
        const auto n = ::recv(fd_, buf.data(), buf.size(), 0);
        if (n > 0) {
            input_.append(buf, 0, static_cast<std::size_t>(n));
        }
        return n;
    }

    /// Reads one message until `until`. Returns nothing where no whole head arrives. Without a length, the
    /// body of an answer ends with the channel.
    std::optional<message> receive(double until, bool is_answer)
    {
        auto end = input_.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (read(until) <= 0) {
                return std::nullopt;
            }
            end = input_.find("\r\n\r\n");
        }
        message out;
        std::size_t begin = 0;
        while (begin <= end) {
            const auto stop = input_.find("\r\n", begin);
            const auto line = input_.substr(begin, stop - begin);
            begin = stop + 2;
            const auto colon = line.find(':');
            if (out.start_line.empty()) {
                out.start_line = line;
            }
            else if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                out.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
            }
        }
        input_.erase(0, end + 4);
        receive_body(out, until, is_answer);
        return out;
    }

    /// Closes the connection so that the peer sees a reset.
    void reset()
    {
        const linger now{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    void close()
    {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
    }

    [[nodiscard]] int fd() const { return fd_; }

private:
    void receive_body(message& out, double until, bool is_answer)
    {
        const auto length = out.header("Content-Length");
        if (is_same_text(out.header("Transfer-Encoding"), "chunked")) {
            receive_chunks(out, until);
            return;
        }
        const auto size = length.empty() ? 0 : std::stoul(length);
        while (input_.size() < size || (is_answer && length.empty())) {
            const auto n = read(until);
            if (n <= 0) {
                out.is_complete = n == 0 && length.empty();
                out.body = std::exchange(input_, {});
                return;
            }
        }
        out.body = input_.substr(0, size);
        input_.erase(0, size);
        out.is_complete = true;
    }

    void receive_chunks(message& out, double until)
    {
        for (;;) {
            const auto end = input_.find("\r\n");
            const auto size = end == std::string::npos ? 0 : std::stoul(input_, nullptr, 16);
            if (end != std::string::npos && input_.size() >= end + 4 + size) {
                out.body += input_.substr(end + 2, size);
                input_.erase(0, end + 4 + size);
                if (size == 0) {
                    out.is_complete = true;
                    return;
                }
            }
            else if (read(until) <= 0) {
                return;
            }
        }
    }

    int fd_;
    std::string input_;
};

/// Listens on a port of 127.0.0.1 and serves each connection in a thread of its own.
class server {
public:
    using handler = std::function<void(connection&, const message&)>;

    explicit server(handler serve) : serve_{std::move(serve)} {}

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    ~server() { stop(); }

    /// Listens at `port`, or at a free one where it is 0. Returns the port; 0 where it cannot.
    int start(int port = 0)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof at;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 1024) != 0) {
            ::close(std::exchange(fd_, -1));
            return 0;
        }
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length);
        port_ = ntohs(at.sin_port);
        is_open_ = true;
        thread_ = std::thread{[this] { accept_all(); }};
        return port_;
    }

    /// Stops listening and resets every connection, as the end of the process does.
    void stop()
    {
        if (!is_open_.exchange(false)) {
            return;
        }
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(std::exchange(fd_, -1));
        {
            const std::lock_guard lock{mutex_};
            for (const int fd : open_) {
                const linger now{.l_onoff = 1, .l_linger = 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        while (threads_ > 0) {
            pause_for(0.002);
        }
    }

    [[nodiscard]] bool is_open() const { return is_open_; }

    [[nodiscard]] int port() const { return port_; }

private:
    void accept_all()
    {
        while (is_open_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock{mutex_};
                open_.insert(fd);
            }
            ++threads_;
            std::thread{[this, fd] {
                {
                    connection it{fd};
                    while (is_open_) {
                        auto request = it.receive(seconds() + 600.0, false);
                        if (!request || !request->is_complete || !is_open_) {
                            break;
                        }
                        serve_(it, *request);
                        if (it.fd() < 0) {
                            break;
                        }
                    }
                    const std::lock_guard lock{mutex_};
                    open_.erase(fd);
                    it.close();
                }
                --threads_;
            }}.detach();
        }
    }

    handler serve_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> is_open_{false};
    std::atomic<int> threads_{0};
    std::thread thread_;
    std::mutex mutex_;
    std::set<int> open_;
};

/// Returns a port of 127.0.0.1 that is free for TCP and UDP. It lies below those that the system gives to
/// outgoing channels, so that none of these takes it before it is used.
inline int free_port()
{
    constexpr int first = 20'000;
    constexpr int count = 12'000;
    static int next = static_cast<int>(std::random_device{}() % count);
    for (;;) {
        next = (next + 1) % count;
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(first + next));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free = ::bind(tcp, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
                             ::bind(udp, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        ::close(tcp);
        ::close(udp);
        if (is_free) {
            return first + next;
        }
    }
}

} // namespace review
