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
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::gateway::model {

/// Configuration of a modelled fleet.
struct fleet_options {
    std::size_t gateways = 4;
    std::size_t engines = 18;
    engine_traits engine;
    /// Configured tokens per second of all engines together.
    double tokens_per_second = 320'000.0;
    /// One-way delay between callers and gateways, and between gateways and engines.
    duration link_delay = std::chrono::microseconds{900};
    /// Number of engines that fail without notice after a third of the run and return after two thirds.
    std::size_t lost_engines = 0;
    /// Numbers of gateways, by accounts, to which the callers of an account keep. Those of others use any.
    std::map<std::size_t, std::size_t> gateways_of_account;
    load_options load;
    /// Settings of the gateways, except for the seeds, which are drawn at random.
    router_options router;
};

/// What the callers of one profile or account got in one second.
struct second_figures {
    double tokens_requested = 0.0;
    double tokens_begun = 0.0;
    /// Whether a request was refused, or waited past its objective.
    bool has_unserved = false;
};

/// Results for the callers of one profile or account.
struct caller_figures {
    std::uint64_t requested = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Tokens of all requests and of those whose execution began, generated tokens counted twice.
    double tokens_requested = 0.0;
    double tokens_begun = 0.0;
    /// Time from the first attempt to the first event, in ms.
    std::vector<double> first_event_ms;
    /// By seconds since the beginning.
    std::vector<second_figures> seconds;
};

/// Results of a run.
struct fleet_figures {
    std::vector<caller_figures> profiles;
    std::vector<caller_figures> accounts;
    std::uint64_t refusals = 0;
    /// Refusals of requests that some engine would have begun within their objective.
    std::uint64_t false_refusals = 0;
    double tokens_read = 0.0;
    /// Of these, tokens of shared parts that some engine had read within the last ten seconds.
    double tokens_read_again = 0.0;
    /// Fraction of the time in which engines were running requests, averaged over the engines.
    double busy = 0.0;
};

/// Real routers in front of modelled engines, with callers that retry as they are told. Used by one thread.
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

    /// Runs the model to its end. To be called once.
    fleet_figures run();

private:
    class gateway_node;
    class engine_node;
    struct caller;

    void send_next_request();
    void start_attempt(const std::shared_ptr<caller>& it);
    void handle_refusal(const std::shared_ptr<caller>& it, duration retry_after);
    void record_end(caller& it, bool is_complete);
    /// Marks the seconds in which the request waited past its objective.
    void record_wait(const caller& it);
    /// Returns the figures of the account for the second of `at`.
    second_figures& second_of(std::size_t account, instant at);
    void exchange_reports(std::size_t from);
    void publish_endpoints();
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
    /// Time at which each shared part was last read by any engine.
    std::unordered_map<std::uint64_t, instant> part_used_at_;
    std::uint64_t last_id_ = 0;
};

} // namespace hemlocknotch::gateway::model
