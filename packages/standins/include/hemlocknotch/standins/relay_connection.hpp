#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <functional>
#include <memory>

struct bufferevent;
struct event_base;

namespace hemlocknotch::standins {

/// One TCP connection passed on to another address, both ways. One thread.
class relay_connection {
public:
    /// Takes over the accepted socket `fd` and connects to `target`. `on_closed` is called once, when either
    /// end has closed; it may destroy this object.
    relay_connection(event_base* base, int fd, const endpoint_address& target,
                     std::function<void()> on_closed);
    relay_connection(const relay_connection&) = delete;
    relay_connection& operator=(const relay_connection&) = delete;
    relay_connection(relay_connection&&) = delete;
    relay_connection& operator=(relay_connection&&) = delete;
    ~relay_connection() = default;

    /// With `is_silent`, passes nothing on until told otherwise; what comes meanwhile is passed on then.
    void set_silent(bool is_silent);

    /// Lets both ends be reset, not closed in an orderly way, when this object is destroyed.
    void reset_when_destroyed();

    /// Passes on what comes from the accepted socket, and holds back what comes from the target.
    void set_one_way();

private:
    struct bufferevent_deleter {
        void operator()(bufferevent* it) const;
    };

    using bufferevent_ptr = std::unique_ptr<bufferevent, bufferevent_deleter>;

    static void on_readable(bufferevent* from, void* self);
    static void on_drained(bufferevent* to, void* self);
    static void on_event(bufferevent* from, short what, void* self);
    void close();
    [[nodiscard]] bufferevent* other(const bufferevent* it) const;

    std::function<void()> on_closed_;
    bufferevent_ptr near_;
    bufferevent_ptr far_;
    bool is_silent_ = false;
    /// One end has closed, and what it sent is still on its way to the other.
    bool is_ending_ = false;
};

} // namespace hemlocknotch::standins
