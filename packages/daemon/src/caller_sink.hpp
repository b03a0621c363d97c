#pragma once

#include <hemlocknotch/core/entry_event.hpp>
#include <hemlocknotch/core/refusal.hpp>

namespace hemlocknotch::daemon {

/// Receiver of what callers do. Called on the event loop's thread, never from within a call to the front.
class caller_sink {
public:
    virtual ~caller_sink() = default;

    /// A caller has sent a whole request with readable headers.
    virtual void on_request(caller_request_event request) = 0;

    /// A caller has closed its connection before its answer was complete. Nothing more of it follows.
    virtual void on_gone(const caller_disconnected_event& gone) = 0;

    /// A caller's connection has taken more of the answer.
    virtual void on_progress(const caller_progress_event& progress) = 0;

    /// A request was refused by the front itself; for counting.
    virtual void on_refused_by_server(refusal_code code) = 0;
};

} // namespace hemlocknotch::daemon
