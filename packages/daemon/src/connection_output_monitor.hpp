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

/// Watches the output buffer of each connection of an evhttp server, for two purposes that the API of
/// libevent 2.1 does not support: it reports how much of an answer has been written to the socket, and
/// replaces the error pages that evhttp sends by itself for a malformed or oversized request. Used by the
/// event loop's thread only.
class connection_output_monitor {
public:
    /// Receives the exchange of which more bytes have been written to the socket, before the event loop waits
    /// again.
    using progress_callback = std::function<void(exchange_id)>;
    /// Returns the replacement for evhttp's own page with this status: a complete answer, head included,
    /// after which the connection is closed.
    using page_callback = std::function<std::string(int status)>;

    /// Calls `on_progress` each time that another `step_bytes` of an answer have been written to the socket.
    /// `base` must outlive the object. Preconditions: no callback is empty; `step_bytes` is above zero.
    connection_output_monitor(event_base* base, std::size_t step_bytes, progress_callback on_progress,
                              page_callback page);

    /// Creates the bufferevent of a new connection, for use in a callback of `evhttp_set_bevcb`. The caller
    /// owns it.
    bufferevent* create_connection();

    /// To be called before an answer is written to `output`. `exchange` is the exchange that the answer
    /// belongs to. Precondition: `exchange` is not 0.
    void begin_answer(const evbuffer* output, exchange_id exchange);

    /// To be called when the complete answer has been written to `output`.
    void end_answer(const evbuffer* output);

    /// To be called when the connection of `output` has been closed.
    void remove(const evbuffer* output);

    /// Returns whether any connection with an answer has bytes that are not yet written to its socket.
    [[nodiscard]] bool has_unsent_bytes() const;

private:
    struct connection_state {
        bufferevent* connection = nullptr;
        /// Exchange whose answer is being written; 0: none.
        exchange_id exchange = 0;
        /// Bytes written to the socket since the last progress report, chunk framing included.
        std::size_t written_bytes = 0;
        bool is_page_pending = false;
        /// Whether an answer was begun on the connection. Only then is `remove` called when it closes.
        bool has_answered = false;
    };

    static void handle_change(evbuffer* output, const evbuffer_cb_info* info, void* self);
    void schedule_page_replacement(connection_state& state);
    void process_pending();
    void replace_page(bufferevent* connection);

    event_base* base_;
    std::size_t step_bytes_;
    progress_callback on_progress_;
    page_callback page_;
    /// Keyed by output buffer. The element of a connection without an answer stays after the connection has
    /// closed, until a new buffer has the same address.
    std::unordered_map<const evbuffer*, connection_state> states_;
    /// Connections with a page of evhttp's to replace. Each holds a reference.
    std::vector<bufferevent*> pending_pages_;
    std::vector<exchange_id> progressed_;
    timer deferred_;
};

} // namespace hemlocknotch::daemon
