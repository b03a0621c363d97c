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

/// What kind of endpoint an agent stands beside.
enum class endpoint_kind : std::uint8_t {
    /// A model engine, which resumes and cancels streams and tells cache events.
    engine,
    /// A plain service, which only executes requests.
    plain,
};

/// Makes an agent's calls to its endpoint (docs/INTERFACES.md). Used by the event loop's thread only.
class endpoint_client {
public:
    /// `base` and `sink` must outlive the client.
    endpoint_client(event_base* base, const endpoint_address& endpoint, endpoint_kind kind,
                    endpoint_sink& sink);

    /// Starts a call, which reports to the sink. Precondition: `call.call` is not in use.
    void start(const start_call_effect& call);

    /// Stops a call; it reports nothing more. Ignored where it has ended.
    void stop(const stop_call_effect& stop);

private:
    void report_impossible();
    void retire(call_id call);

    event_base* base_;
    endpoint_address endpoint_;
    endpoint_kind kind_;
    endpoint_sink& sink_;
    /// Cancellations are calls with numbers of their own, from the top down.
    call_id next_cancel_;
    std::unordered_map<call_id, std::unique_ptr<endpoint_call>> calls_;
    /// Ended calls, destroyed once evhttp no longer uses them.
    std::vector<std::unique_ptr<endpoint_call>> retired_;
    timer clean_up_;
    /// Resumes asked of an endpoint that cannot resume.
    std::vector<call_id> impossible_;
    timer report_impossible_;
};

} // namespace hemlocknotch::daemon
