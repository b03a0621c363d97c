#pragma once

#include <hemlocknotch/gateway/affinity_placement.hpp>
#include <hemlocknotch/gateway/least_loaded_placement.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// Thrown where a promise is broken.
struct broken_promise {
    std::string what;
};

/// Several routers before endpoints that answer, reject, break off, fall silent, leave and turn cold at
/// random, with an oracle that knows what has really run. One thread.
class fuzz_fleet {
public:
    explicit fuzz_fleet(std::uint64_t seed);
    ~fuzz_fleet();
    fuzz_fleet(const fuzz_fleet&) = delete;
    fuzz_fleet(fuzz_fleet&&) = delete;
    fuzz_fleet& operator=(const fuzz_fleet&) = delete;
    fuzz_fleet& operator=(fuzz_fleet&&) = delete;

    /// Does one random thing. Throws `broken_promise`.
    void step();

    /// Returns the number of requests that have ended.
    [[nodiscard]] std::uint64_t ended() const { return ended_; }

private:
    struct request_truth {
        std::string id;
        request_kind kind = request_kind::safe;
        bool is_resumable = false;
        unsigned executions = 0;
        bool has_left = false;
        bool is_ended = false;
        /// The caller was told that it has not run and never will.
        bool is_said_not_run = false;
        instant ends_at;
        std::uint64_t next_event = 1;
        bool is_last_event_seen = false;
    };

    struct open_call {
        call_start start;
        bool is_executing = false;
        bool has_head = false;
        std::uint64_t next_event = 1;
    };

    class port;
    struct gateway_state;

    void ask(gateway_state& it);
    void leave(gateway_state& it);
    void answer(gateway_state& it);
    void answer_stream(gateway_state& it, open_call& call);
    void change_endpoints();
    void exchange_reports();
    void pass_time();
    void check_ends(gateway_state& it);
    void note_arrival(const call_start& start);
    void execute(gateway_state& it, open_call& call);

    [[nodiscard]] bool chance(unsigned percent) { return random_() % 100 < percent; }

    [[nodiscard]] std::vector<endpoint_record> records() const;

    std::mt19937_64 random_;
    instant now_{std::chrono::seconds{1000}};
    affinity_placement model_placement_{affinity_options{}};
    least_loaded_placement plain_placement_;
    std::shared_ptr<const routing_configuration> configuration_;
    std::map<std::string, endpoint_record> endpoints_;
    std::set<std::string, std::less<>> out_of_service_;
    std::vector<std::unique_ptr<gateway_state>> gateways_;
    std::map<std::string, std::deque<instant>> cold_arrivals_;
    std::map<std::string, instant> cold_until_;
    std::uint64_t requests_ = 0;
    std::uint64_t extra_sends_ = 0;
    std::uint64_t ended_ = 0;
    exchange_id last_exchange_ = 0;
};

} // namespace hemlocknotch::gateway
