#pragma once

#include <hemlocknotch/core/entry_event.hpp>
#include <hemlocknotch/core/refusal.hpp>

namespace hemlocknotch::daemon {

/// Receiver of callers' events. Called on the event loop's thread, never from within a call to the server.
class caller_sink {
public:
    virtual ~caller_sink() = default;

    /// A caller has sent a complete request with valid headers.
    virtual void on_request(caller_request_event request) = 0;

    /// A caller has closed its connection before its answer was complete. No further event of this exchange
    /// follows.
    virtual void on_disconnected(const caller_disconnected_event& disconnected) = 0;

    /// More of an answer has been written to a caller's socket.
    virtual void on_progress(const caller_progress_event& progress) = 0;

    /// The server has refused a request by itself. For the metrics only.
    virtual void on_refused_by_server(refusal_code code) = 0;
};

} // namespace hemlocknotch::daemon
