#pragma once

#include <hemlocknotch/core/agent_effect.hpp>
#include <hemlocknotch/core/agent_event.hpp>

#include "oracle.hpp"
#include "timeline.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hemlocknotch::fuzz {

/// Simulated endpoint: executes requests, streams answers, resumes streams, and fails at random in every way
/// that the endpoint interface allows. Keeps running when its agent restarts.
class fake_endpoint {
public:
    using event_callback = std::function<void(decltype(agent_event::content))>;

    /// Creates an endpoint that schedules its work on `events` and reports executions to `checker`. The
    /// mutations "false-not-run" and "short-answer" make it misbehave; all others leave it correct.
    fake_endpoint(timeline& events, oracle& checker, const std::string& mutation)
        : timeline_{events},
          oracle_{checker},
          is_misreporting_{mutation == "false-not-run"},
          is_truncating_{mutation == "short-answer"}
    {
    }

    /// Starts a call. `callback` receives the events of the call until it ends or is stopped.
    void start(const start_call_effect& call, event_callback callback);

    /// Stops a call; no event of it follows. A cancelled request loses its stream too.
    void stop(const stop_call_effect& call);

    /// Answers a health probe: `callback` receives an `endpoint_health_event` after a random delay.
    void probe(const event_callback& callback);

    /// Simulates a restart: starts a new incarnation, discards all streams and breaks all calls.
    void restart();

    /// Ends all calls without an event, because their agent has restarted. The new agent numbers its calls
    /// from the start again.
    void drop_calls();

    /// Whether calls fail at random.
    bool is_faulty = true;

    /// Returns the number of calls in progress.
    [[nodiscard]] std::size_t running() const { return calls_.size(); }

private:
    struct running_call {
        /// Number of the call as the agent knows it.
        call_id agent_call = 0;
        std::string body;
        /// Bytes of `body` that have been sent.
        std::size_t sent = 0;
        event_callback callback;
    };

    void end(call_id id, call_outcome outcome);
    void send_next_part(call_id id);
    void send_head(call_id id, std::uint32_t status);

    timeline& timeline_;
    oracle& oracle_;
    bool is_misreporting_;
    bool is_truncating_;
    std::uint64_t incarnation_ = 1;
    /// Added to the call numbers of the current agent incarnation, so that the keys of `calls_` stay unique
    /// over restarts of the agent.
    call_id key_offset_ = 0;
    std::map<call_id, running_call> calls_;
    /// Caller number of each request whose stream can be resumed.
    std::map<request_id, std::size_t> streams_;
};

} // namespace hemlocknotch::fuzz
