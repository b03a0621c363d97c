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

/// How a call is made.
struct endpoint_call_options {
    /// Whether the call goes on with an earlier answer; then 404 means that the endpoint does not know it.
    bool is_resume = false;
    /// The call fails after this long without any byte. Agents find silence earlier by their own limit.
    duration silence_limit = std::chrono::minutes{10};
};

/// One HTTP call to an endpoint on a connection of its own, so that a lost call is never confused with a
/// connection that had gone before. Used by the event loop's thread only.
class endpoint_call {
public:
    /// Called once with the call's number when nothing more follows, after the sink. The call may not be
    /// destroyed by it, only later.
    using done_callback = std::function<void(call_id)>;

    /// Starts the call. `base` and `sink` must outlive it. Nothing is reported from within the constructor.
    endpoint_call(event_base* base, call_id number, const endpoint_address& endpoint,
                  const endpoint_request& request, const endpoint_call_options& options, endpoint_sink& sink,
                  done_callback done);
    endpoint_call(const endpoint_call&) = delete;
    endpoint_call(endpoint_call&&) = delete;
    endpoint_call& operator=(const endpoint_call&) = delete;
    endpoint_call& operator=(endpoint_call&&) = delete;
    ~endpoint_call() = default;

    /// Reports nothing more. The connection is closed when the object is destroyed.
    void silence() { is_silenced_ = true; }

private:
    static int handle_head(evhttp_request* request, void* self);
    static void handle_part(evhttp_request* request, void* self);
    static void handle_error(evhttp_request_error error, void* self);
    static void handle_done(evhttp_request* request, void* self);

    bool take_head(evhttp_request* request);
    void end(call_outcome outcome);
    void flush_part();

    call_id number_;
    endpoint_call_options options_;
    endpoint_sink& sink_;
    done_callback done_;
    std::string pending_;
    bool is_silenced_ = false;
    bool is_constructed_ = false;
    bool has_head_ = false;
    bool has_failed_ = false;
    /// Whether the answer states where it ends, by its length or by chunks.
    bool is_framed_ = false;
    timer flush_;
    timer refused_;
    evhttp_connection_ptr connection_;
};

} // namespace hemlocknotch::daemon
