#pragma once

#include <hemlocknotch/gateway/affinity_placement.hpp>
#include <hemlocknotch/gateway/random_placement.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "arrival_oracle.hpp"
#include "crash_oracle.hpp"
#include "invariant_violation.hpp"
#include "request_oracle.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// Several routers in front of endpoints that at random answer, reject, break off, stay idle, drain and
/// become cold, with an oracle that knows what was really executed. Used by one thread.
class fuzz_fleet {
public:
    explicit fuzz_fleet(std::uint64_t seed);
    ~fuzz_fleet();
    fuzz_fleet(const fuzz_fleet&) = delete;
    fuzz_fleet(fuzz_fleet&&) = delete;
    fuzz_fleet& operator=(const fuzz_fleet&) = delete;
    fuzz_fleet& operator=(fuzz_fleet&&) = delete;

    /// Performs one random event. Throws `invariant_violation`.
    void step();

    /// Returns the number of requests that have ended.
    [[nodiscard]] std::uint64_t ended() const { return ended_; }

private:
    struct open_call {
        call_start start;
        bool is_connected = false;
        bool is_executing = false;
        bool has_head = false;
        std::uint64_t next_event = 1;
        /// The head of an answer that is no event stream has come, with this status.
        bool has_plain_head = false;
        int plain_status = 0;
    };

    class port;
    struct gateway_state;

    void send_request(gateway_state& it);
    void disconnect(gateway_state& it);
    void answer(gateway_state& it);
    void answer_stream(gateway_state& it, open_call& call);
    /// Lets a model endpoint, now and then, answer with something else than events. Returns whether it did.
    bool answer_unusually(gateway_state& it, open_call& call);
    void reject_unusually(gateway_state& it, const open_call& call);
    void end_without_events(gateway_state& it, open_call& call);
    void begin_plain_answer(gateway_state& it, open_call& call);
    void end_plain_answer(gateway_state& it, const open_call& call);
    /// Ends the call, unless the gateway has cancelled it.
    void finish_call(gateway_state& it, call_id id, call_outcome outcome);
    void change_endpoints();
    /// Cuts the calls to the endpoint and starts it anew.
    void end_endpoint(const std::string& instance);
    void restart(endpoint_record& it);
    /// Tells all gateways what is registered.
    void publish_endpoints();
    void exchange_reports();
    /// Sends the reports that the breakers of requests that crash endpoints want sent at once.
    void send_urgent_reports();
    /// Sends the report of one gateway to the others, of which some do not receive it.
    void send_report(gateway_state& from, unsigned loss_percent);
    void advance_time();
    /// Now and then lets the gateway stop, and checks what it does at the end.
    void advance_stop(gateway_state& it);
    void check_deadlines(gateway_state& it);
    void check_arrival(const call_start& start);
    void execute(gateway_state& it, open_call& call);

    /// Returns what counts the requests like this one if it ends the endpoint that executes it; null if not.
    crash_oracle* crashes_of(const call_start& start);
    /// Lets the endpoint say in some rejections that it pauses or leaves.
    void announce(gateway_state& it, const std::string& instance, answer_fields& fields);
    /// Lets an endpoint state another limit, or none any more.
    void change_limits();

    [[nodiscard]] bool chance(unsigned percent) { return random_() % 100 < percent; }

    /// Draw from a source of their own, so that the other events of a seed stay as they are until one of
    /// these answers is drawn.
    [[nodiscard]] std::size_t draw_unusual(std::size_t n) { return unusual_random_() % n; }

    [[nodiscard]] bool unusual_chance(unsigned percent) { return draw_unusual(100) < percent; }

    /// Returns the head of an answer whose endpoint the oracle can tell by the call.
    static answer_head endpoint_head(call_id id, int status);
    static request_oracle& request_of(gateway_state& it, const open_call& call);
    /// Returns the fields of the head of an event stream.
    answer_fields stream_fields(const open_call& call);

    [[nodiscard]] std::vector<endpoint_record> records() const;

    std::mt19937_64 random_;
    std::mt19937_64 unusual_random_;
    std::mt19937_64 stop_random_;
    instant now_{std::chrono::seconds{1000}};
    affinity_placement model_placement_{affinity_options{}};
    random_placement plain_placement_;
    std::shared_ptr<const routing_configuration> configuration_;
    std::map<std::string, endpoint_record> endpoints_;
    std::set<std::string, std::less<>> out_of_service_;
    std::vector<std::unique_ptr<gateway_state>> gateways_;
    arrival_oracle arrivals_;
    bool has_crashing_part_ = false;
    bool has_crashing_body_ = false;
    crash_oracle part_crashes_;
    /// By target, which distinguishes requests with the same body.
    std::map<std::string, crash_oracle> request_crashes_;
    std::uint64_t requests_ = 0;
    std::uint64_t extra_attempts_ = 0;
    std::uint64_t ended_ = 0;
    exchange_id last_exchange_ = 0;
};

} // namespace hemlocknotch::gateway
