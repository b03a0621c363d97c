#pragma once

#include <hemlocknotch/core/agent_effect.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/link_id.hpp>

#include "endpoint_call.hpp"
#include "endpoint_sink.hpp"
#include "timer.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::daemon {

/// Kind of an agent's endpoint.
enum class endpoint_kind : std::uint8_t {
    /// A model engine, which resumes and cancels streams and reports cache events.
    engine,
    /// A plain service, which only executes requests.
    plain,
};

/// Performs an agent's calls to its endpoint (docs/INTERFACES.md). Used by the event loop's thread only.
class endpoint_client {
public:
    /// `base` and `sink` must outlive the client.
    endpoint_client(event_base* base, const endpoint_address& endpoint, endpoint_kind kind,
                    endpoint_sink& sink);

    /// Starts a call, which reports to the sink. Precondition: `call.call` is not in use.
    void start(const start_call_effect& call);

    /// Stops a call, which then reports nothing more, and cancels it at an engine if the effect says so. The
    /// call may have ended already.
    void stop(const stop_call_effect& stop);

private:
    void report_unsupported_resumes();
    void retire(call_id call);

    event_base* base_;
    endpoint_address endpoint_;
    endpoint_kind kind_;
    endpoint_sink& sink_;
    /// Number of the next cancellation call. These are numbered downwards from the largest number, so that
    /// they never share one with the reducer's calls.
    call_id next_cancel_;
    std::unordered_map<call_id, std::unique_ptr<endpoint_call>> calls_;
    /// Calls that have ended. They are destroyed once evhttp no longer uses them.
    std::vector<std::unique_ptr<endpoint_call>> retired_;
    timer clean_up_;
    /// Resuming calls to an endpoint that cannot resume, not yet reported as ended.
    std::vector<call_id> unsupported_resumes_;
    timer unsupported_resumes_timer_;
};

} // namespace hemlocknotch::daemon
