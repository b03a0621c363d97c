#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct event_base;

namespace hemlocknotch::standins {

/// How a request of a `kept_connection_caller` ended.
struct kept_connection_answer {
    /// Status of a complete answer; 0: there was none.
    int status = 0;
    std::string body = {};
    /// Status line and headers of a complete answer, in lower case.
    std::string head = {};
    /// The gateway closed the connection after it could have read the request, without a complete answer.
    bool was_closed = false;
    /// The bytes received are no answer; `received` holds them.
    bool is_malformed = false;
    std::string received = {};
    /// What came of the body of a success that is not complete.
    std::string partial_body = {};
    /// Bytes that came after the answer, or since the one before and before this request.
    std::string unsolicited = {};
};

/// A caller that sends one request after the other on one connection, and keeps it until the gateway closes
/// it. One thread.
class kept_connection_caller {
public:
    using callback = std::function<void(const kept_connection_answer&)>;

    /// `base` must outlive the caller. `done` is called once for each request, never from within `send`; it
    /// may send the next one.
    kept_connection_caller(event_base* base, endpoint_address gateway, callback done);
    kept_connection_caller(const kept_connection_caller&) = delete;
    kept_connection_caller& operator=(const kept_connection_caller&) = delete;
    kept_connection_caller(kept_connection_caller&&) = delete;
    kept_connection_caller& operator=(kept_connection_caller&&) = delete;
    ~kept_connection_caller();

    /// Sends a whole HTTP request and waits for its answer for at most `timeout`. Connects first where no
    /// connection is open. Precondition: no request is in progress.
    void send(const std::string& request, duration timeout);

    /// Sends more bytes of the request in progress. Ignored where it has ended.
    void send_more(const std::string& bytes);

    /// Returns whether bytes have come since the last answer that no request asked for.
    [[nodiscard]] bool has_unsolicited() const { return !unsolicited_.empty(); }

private:
    struct bufferevent_deleter {
        void operator()(bufferevent* it) const;
    };

    static void on_readable(bufferevent* from, void* self);
    static void on_event(bufferevent* from, short what, void* self);
    void connect();
    void read_answer();
    /// Ends the request without a complete answer.
    void end_incomplete(bool was_closed);
    void end(kept_connection_answer answer, bool keeps_connection);

    event_base* base_;
    endpoint_address gateway_;
    callback done_;
    std::unique_ptr<bufferevent, bufferevent_deleter> connection_;
    std::string input_;
    std::string unsolicited_;
    timer timeout_;
    /// Ends a request that failed at once, outside of the connection's own events.
    timer failed_;
    bool is_waiting_ = false;
    bool is_connected_ = false;
};

} // namespace hemlocknotch::standins
