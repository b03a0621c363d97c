#pragma once

#include <hemlocknotch/gateway/cold_rate_limiter.hpp>
#include <hemlocknotch/gateway/decaying_sum.hpp>
#include <hemlocknotch/gateway/endpoint_load.hpp>
#include <hemlocknotch/gateway/endpoint_record.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {

/// Load of one endpoint that another gateway causes.
struct peer_load {
    double pending_tokens = 0.0;
    unsigned running = 0;
    double tokens_per_second = 0.0;
};

/// The same with the endpoint's name, which stays valid as long as the report that tells it.
struct reported_endpoint_load {
    std::string_view instance;
    peer_load load;
};

/// What the gateway knows of one endpoint.
struct endpoint_state {
    /// Time over which rates are averaged: some prompts of the largest kind.
    static constexpr duration rate_time_constant = std::chrono::milliseconds{700};

    explicit endpoint_state(endpoint_record value) : record{std::move(value)} {}

    endpoint_record record;
    double pending_tokens = 0.0;
    unsigned running = 0;
    /// Prompt tokens sent of late.
    decaying_sum sent_tokens{rate_time_constant};
    /// By the name of the gateway that causes it.
    std::map<std::string, peer_load, std::less<>> peers;
    /// What all of them cause together.
    peer_load peers_total;
    /// Moving share of calls that failed.
    double failure_rate = 0.0;
    unsigned consecutive_failures = 0;
    unsigned consecutive_unreachable = 0;
    /// No request goes here until then, unless all others are suspected too.
    instant suspected_until{};
    instant cold_until{};
    /// Shared parts of prompts that were sent here, with the time of the last one.
    std::unordered_map<std::uint64_t, instant> cached_parts;

    /// Returns how many tokens at the beginning of `shared_parts` are kept here, as far as this gateway
    /// knows.
    [[nodiscard]] double cached_tokens(std::span<const prompt_part> shared_parts, instant now) const;
    /// Remembers that a prompt that begins with `shared_parts` was sent here.
    void note_sent(std::span<const prompt_part> shared_parts, instant now);
    /// Replaces or forgets what `gateway` causes here.
    void set_peer(std::string_view gateway, const peer_load& load);
    void remove_peer(std::string_view gateway);
    std::optional<cold_rate_limiter> cold_limiter;
};

/// The endpoints of all services, with their load and health. Used by one thread at a time.
class endpoint_table {
public:
    /// Weight of the newest call in the failure rate; the last five calls make up two thirds of it.
    static constexpr double failure_weight = 0.2;
    /// Failure rate from which an endpoint is suspected, above what the others of its service show.
    static constexpr double suspicion_threshold = 0.3;
    /// Shortest and longest suspicion; it doubles with each failure in a row.
    static constexpr duration min_suspicion = std::chrono::milliseconds{250};
    static constexpr duration max_suspicion = std::chrono::seconds{2};
    /// How long an endpoint is left alone after it said that it is full: about the time of one short answer.
    static constexpr duration full_backoff = std::chrono::milliseconds{50};
    /// How long an address is left alone after another instance answered there; the registry says more by
    /// then.
    static constexpr duration misdirected_backoff = std::chrono::seconds{3};

    /// `seed` is drawn by each gateway for itself.
    explicit endpoint_table(std::uint64_t seed) : seed_{seed} {}

    /// Replaces the endpoints. Those that stay keep load and health, unless they have been started again.
    void set_endpoints(std::span<const endpoint_record> records, const routing_configuration& configuration,
                       std::size_t gateways, instant now);

    /// Replaces the failure domains that take no new work.
    void set_out_of_service(std::set<std::string, std::less<>> failure_domains);

    /// Changes the number of gateways that share the limits of cold endpoints.
    void set_gateways(std::size_t gateways);

    /// Returns whether every endpoint of `service` that may take requests at all is named in `tried`.
    [[nodiscard]] bool are_all_tried(std::string_view service, std::span<const std::string> tried) const;

    /// Tells how many gateways there are whose load is not known; each is taken to cause as much as this one.
    void set_non_reporting(std::size_t gateways) { non_reporting_ = gateways; }

    /// Replaces what `gateway` says of its load. An empty list forgets it.
    void set_peer_load(std::string_view gateway, std::span<const reported_endpoint_load> loads);

    /// Returns the endpoints of `service` as seen by a prompt that begins with `shared_parts`, valid until
    /// the next change; `states` receives their states in the same order.
    std::vector<endpoint_load> loads_of(std::string_view service, instant now,
                                        std::span<const std::string> excluded,
                                        std::span<const prompt_part> shared_parts,
                                        std::vector<endpoint_state*>& states);

    /// Returns the state of `instance`; null where it is not known.
    endpoint_state* find(std::string_view instance);

    /// Counts how a call to `instance` ended.
    void note_success(endpoint_state& endpoint);
    void note_failure(endpoint_state& endpoint, bool was_reached, instant now);

    /// The endpoint said that it has not executed a request: it is full, or another one has its address.
    static void note_rejection(endpoint_state& endpoint, bool is_misdirected, instant now);

    /// Returns when the next cold endpoint takes a request, or a suspicion ends; `instant::max()` where
    /// nothing is held back.
    [[nodiscard]] instant next_availability(instant now) const;

    [[nodiscard]] const std::map<std::string, std::unique_ptr<endpoint_state>, std::less<>>& all() const
    {
        return endpoints_;
    }

private:
    static void suspect(endpoint_state& endpoint, instant until);
    static void readmit_if_most_suspected(const std::vector<bool>& accepting,
                                          std::span<endpoint_state* const> states,
                                          std::span<endpoint_load> loads);
    [[nodiscard]] bool accepts_requests(const endpoint_state& endpoint, instant now) const;
    [[nodiscard]] double mean_failure_rate(std::string_view service, const endpoint_state& except) const;

    [[nodiscard]] double phase_of(std::string_view instance) const;

    std::uint64_t seed_;
    std::size_t non_reporting_ = 0;
    std::map<std::string, std::unique_ptr<endpoint_state>, std::less<>> endpoints_;
    std::map<std::string, std::vector<endpoint_state*>, std::less<>> by_service_;
    std::set<std::string, std::less<>> out_of_service_;
};

} // namespace hemlocknotch::gateway
