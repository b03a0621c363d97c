#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "engine_model.hpp"
#include "event_queue.hpp"
#include "load_source.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::gateway::model {

/// What a modelled fleet looks like.
struct fleet_options {
    std::size_t gateways = 4;
    std::size_t engines = 18;
    engine_traits engine;
    /// Tokens that the operators state for all engines in a second.
    double tokens_per_second = 320'000.0;
    /// One way between callers, gateways and engines.
    duration link_delay = std::chrono::microseconds{900};
    /// So many engines are lost, without a word, after a third of the run and come back after two thirds.
    std::size_t lost_engines = 0;
    load_options load;
    /// Settings of the gateways; their seeds are drawn.
    router_options router;
};

/// What callers of one profile or account got.
struct caller_figures {
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Tokens asked for and begun, generated ones counted twice.
    double tokens_asked = 0.0;
    double tokens_begun = 0.0;
    /// From the first try to the first event, in ms.
    std::vector<double> first_event_ms;
};

/// What a run gave.
struct fleet_figures {
    std::vector<caller_figures> profiles;
    std::vector<caller_figures> accounts;
    std::uint64_t refusals = 0;
    /// Refusals of requests that some engine would have begun within their objective.
    std::uint64_t false_refusals = 0;
    double tokens_read = 0.0;
    /// Of these, of shared parts that some engine had read within the last ten seconds.
    double tokens_read_again = 0.0;
    /// Share of the engines' time in which they ran something.
    double busy = 0.0;
};

/// Real routers before modelled engines, with callers that come back as they are told. One thread.
class fleet_model {
public:
    /// `placement` must outlive the model.
    fleet_model(const fleet_options& options, std::vector<request_profile> profiles,
                const placement_policy& placement);
    ~fleet_model();
    fleet_model(const fleet_model&) = delete;
    fleet_model(fleet_model&&) = delete;
    fleet_model& operator=(const fleet_model&) = delete;
    fleet_model& operator=(fleet_model&&) = delete;

    /// Plays the run to its end. To be called once.
    fleet_figures run();

private:
    class gateway_node;
    class engine_node;
    struct caller;

    void ask_next();
    void try_once(const std::shared_ptr<caller>& it);
    void take_refusal(const std::shared_ptr<caller>& it, duration retry_after);
    void note_end(caller& it, bool is_whole);
    void exchange_reports(std::size_t from);
    void tell_endpoints();
    [[nodiscard]] bool could_be_served(const caller& it) const;
    [[nodiscard]] std::shared_ptr<const routing_configuration> create_configuration() const;

    fleet_options options_;
    const placement_policy& placement_;
    event_queue events_;
    instant begin_;
    load_source load_;
    std::mt19937_64 random_;
    fleet_figures figures_;
    std::vector<std::unique_ptr<engine_node>> engines_;
    std::vector<std::unique_ptr<gateway_node>> gateways_;
    /// When each shared part was last read or used anywhere.
    std::unordered_map<std::uint64_t, instant> part_used_at_;
    std::uint64_t last_id_ = 0;
};

} // namespace hemlocknotch::gateway::model
