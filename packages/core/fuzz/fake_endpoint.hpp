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

/// One endpoint: executes requests, streams answers, resumes streams, and fails in every way that the
/// interface allows. Outlives its agent.
class fake_endpoint {
public:
    using event_callback = std::function<void(decltype(agent_event::content))>;

    fake_endpoint(timeline& events, oracle& checker, const std::string& mutation)
        : timeline_{events},
          oracle_{checker},
          is_misreporting_{mutation == "false-not-run"},
          is_truncating_{mutation == "short-answer"}
    {
    }

    /// Starts a call; what comes of it goes to `callback`.
    void start(const start_call_effect& call, event_callback callback);

    /// Stops a call.
    void stop(const stop_call_effect& call);

    /// Answers the health page.
    void probe(const event_callback& callback);

    /// Forgets all streams and breaks all calls, as a restart does.
    void restart();

    /// Ends all calls without telling anybody: their agent is gone, and the next one numbers anew.
    void drop_calls();

    /// Calls fail at random only while this is set.
    bool is_faulty = true;

    /// Returns the number of calls in progress.
    [[nodiscard]] std::size_t running() const { return calls_.size(); }

private:
    struct running_call {
        call_id agent_call = 0;
        std::string body;
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
    /// Added to the numbers that the present agent gives, so that no two calls have one key.
    call_id key_offset_ = 0;
    std::map<call_id, running_call> calls_;
    std::map<request_id, std::size_t> streams_;
};

} // namespace hemlocknotch::fuzz
