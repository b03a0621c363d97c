#pragma once

#include <hemlocknotch/core/agent_event.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/time.hpp>

#include "endpoint_request.hpp"
#include "endpoint_sink.hpp"
#include "libevent_handles.hpp"
#include "timer.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace hemlocknotch::daemon {

/// Options of a call.
struct endpoint_call_options {
    /// Whether the call resumes an earlier answer. If so, status 404 means that the endpoint has no such
    /// answer.
    bool is_resume = false;
    /// The call fails after this long without any byte. Agents detect an unresponsive endpoint earlier, by a
    /// limit of their own.
    duration idle_timeout = std::chrono::minutes{10};
};

/// One HTTP call to an endpoint. Each call uses a new connection, so that a failure of the call is never
/// confused with a reused connection that the endpoint had already closed. Used by the event loop's thread
/// only.
class endpoint_call {
public:
    /// Called once with the call's number after the last event has been reported to the sink. Must not
    /// destroy the call, which evhttp still uses.
    using done_callback = std::function<void(call_id)>;

    /// Starts the call. `base` and `sink` must outlive it. The constructor itself reports nothing to the
    /// sink.
    endpoint_call(event_base* base, call_id number, const endpoint_address& endpoint,
                  const endpoint_request& request, const endpoint_call_options& options, endpoint_sink& sink,
                  done_callback done);
    endpoint_call(const endpoint_call&) = delete;
    endpoint_call(endpoint_call&&) = delete;
    endpoint_call& operator=(const endpoint_call&) = delete;
    endpoint_call& operator=(endpoint_call&&) = delete;
    ~endpoint_call() = default;

    /// Stops reporting to the sink and to `done`. The connection is closed when the object is destroyed.
    void detach() { is_detached_ = true; }

private:
    static int handle_head(evhttp_request* request, void* self);
    static void handle_part(evhttp_request* request, void* self);
    static void handle_error(evhttp_request_error error, void* self);
    static void handle_done(evhttp_request* request, void* self);

    bool process_head(evhttp_request* request);
    void end(call_outcome outcome);
    void flush_part();

    call_id number_;
    endpoint_call_options options_;
    endpoint_sink& sink_;
    done_callback done_;
    std::string pending_;
    bool is_detached_ = false;
    bool is_constructed_ = false;
    bool has_head_ = false;
    bool has_failed_ = false;
    /// Whether the end of the answer can be recognized, by its length, chunks, method or status.
    bool has_delimited_body_ = false;
    timer flush_timer_;
    timer not_started_timer_;
    evhttp_connection_ptr connection_;
};

} // namespace hemlocknotch::daemon
