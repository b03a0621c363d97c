#pragma once

#include "event_priority.hpp"
#include "libevent_handles.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <string>

namespace hemlocknotch::daemon {

/// An event loop that runs until a condition holds.
class test_loop {
public:
    [[nodiscard]] event_base* base() const { return base_.get(); }

    /// Runs until `is_done` returns true. Returns false if it does not within 20 seconds.
    bool run_until(const std::function<bool()>& is_done) const
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (!is_done()) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            timeval pause{0, 5000};
            event_base_loopexit(base_.get(), &pause);
            event_base_dispatch(base_.get());
        }
        return true;
    }

private:
    event_base_ptr base_{create_prioritized_loop()};
};

struct bufferevent_deleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
};

/// A TCP client that sends raw bytes and collects the bytes that it receives.
class raw_client {
public:
    /// Connects to `port` of the loopback address `host` and sends `bytes`.
    raw_client(event_base* base, unsigned short port, const std::string& bytes,
               const std::string& host = "127.0.0.1")
        : stream_{bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)}
    {
        bufferevent_setcb(stream_.get(), on_read, nullptr, on_event, this);
        bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
        bufferevent_socket_connect_hostname(stream_.get(), nullptr, AF_INET, host.c_str(), port);
        send(bytes);
    }

    void send(const std::string& bytes) { bufferevent_write(stream_.get(), bytes.data(), bytes.size()); }

    /// Closes the connection.
    void close() { stream_.reset(); }

    /// Ends the connection in the client's direction only.
    void finish_sending() { ::shutdown(bufferevent_getfd(stream_.get()), SHUT_WR); }

    /// Closes the connection so that the other side sees a reset.
    void reset()
    {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
        ::close(bufferevent_getfd(stream_.get()));
        bufferevent_setfd(stream_.get(), -1);
        is_closed_ = true;
    }

    void stop_reading() { bufferevent_disable(stream_.get(), EV_READ); }

    void resume_reading() { bufferevent_enable(stream_.get(), EV_READ); }

    [[nodiscard]] const std::string& received() const { return received_; }

    [[nodiscard]] bool is_closed() const { return is_closed_; }

    /// Returns whether the system has taken all that was sent.
    [[nodiscard]] bool has_sent_all() const
    {
        return evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0;
    }

    [[nodiscard]] bool has(const std::string& text) const
    {
        return received_.find(text) != std::string::npos;
    }

private:
    static void on_read(bufferevent* stream, void* self)
    {
        auto* input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        static_cast<raw_client*>(self)->received_ += bytes;
    }

    static void on_event(bufferevent* stream, short what, void* self)
    {
        on_read(stream, self);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<raw_client*>(self)->is_closed_ = true;
        }
    }

    std::unique_ptr<bufferevent, bufferevent_deleter> stream_;
    std::string received_;
    bool is_closed_ = false;
};

} // namespace hemlocknotch::daemon
