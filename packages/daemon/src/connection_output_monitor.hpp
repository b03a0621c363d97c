#pragma once

#include <hemlocknotch/core/link_id.hpp>

#include "timer.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace hemlocknotch::daemon {

/// Watches the output of every connection of an evhttp server, for two things that evhttp of libevent 2.1 has
/// no calls for: how much of an answer the peer has taken, and the pages that evhttp writes by itself on a
/// malformed or oversized request, which are replaced. Used by the event loop's thread only.
class connection_output_monitor {
public:
    /// Receives the exchange whose connection has taken bytes, before the loop waits again.
    using taken_callback = std::function<void(exchange_id)>;
    /// Returns what replaces evhttp's own page with this status: a whole answer, after which the connection
    /// is closed.
    using page_callback = std::function<std::string(int status)>;

    /// `taken` is called each time that a peer has taken `step_bytes` more. `base` must outlive the object.
    /// Preconditions: no callback is empty; the step is above zero.
    connection_output_monitor(event_base* base, std::size_t step_bytes, taken_callback taken,
                              page_callback page);

    /// Makes the bufferevent of a new connection, as `evhttp_set_bevcb` asks for. The caller owns it.
    bufferevent* make_connection();

    /// Tells that an answer of `writer` is written to `output` from now on.
    void begin(const evbuffer* output, exchange_id writer);

    /// Tells that all of that answer has been written to `output`.
    void end(const evbuffer* output);

    /// Tells that the connection has been closed.
    void forget(const evbuffer* output);

    /// Returns whether any connection that an answer was written to has bytes that the system has not yet
    /// taken.
    [[nodiscard]] bool has_unsent_bytes() const;

private:
    struct connection_state {
        bufferevent* connection = nullptr;
        /// 0 while no exchange writes.
        exchange_id writer = 0;
        /// Bytes taken since the last call of `taken`, chunk framing included.
        std::size_t taken_bytes = 0;
        bool is_page_noted = false;
        /// Whether an answer was written; such a connection's end is told by `forget`.
        bool has_answered = false;
    };

    static void handle_change(evbuffer* output, const evbuffer_cb_info* info, void* self);
    void note_page(connection_state& state);
    void work_off();
    void replace_page(bufferevent* connection);

    event_base* base_;
    std::size_t step_bytes_;
    taken_callback taken_;
    page_callback page_;
    /// Keyed by output buffer; an element outlives its connection until the buffer's address is used again.
    std::unordered_map<const evbuffer*, connection_state> states_;
    /// Each holds a reference.
    std::vector<bufferevent*> pages_;
    std::vector<exchange_id> progressed_;
    timer later_;
};

} // namespace hemlocknotch::daemon
