#pragma once

#include <hemlocknotch/gateway/decaying_sum.hpp>
#include <hemlocknotch/gateway/endpoint_load.hpp>
#include <hemlocknotch/gateway/endpoint_record.hpp>
#include <hemlocknotch/gateway/fleet_rate_limiter.hpp>
#include <hemlocknotch/gateway/gateway_roster.hpp>
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

/// Load that another gateway causes at one endpoint.
struct peer_load {
    double pending_tokens = 0.0;
    unsigned running = 0;
    double tokens_per_second = 0.0;
};

/// `peer_load` with the instance name of the endpoint. The name is valid as long as the report that it comes
/// from.
struct reported_endpoint_load {
    std::string_view instance;
    peer_load load;
};

/// The requests per second that an endpoint takes from all gateways, as its answers state.
struct stated_limit {
    /// 0: none.
    double requests_per_second = 0.0;
    /// When the answer arrived, here or at the gateway that has reported it; `instant{}`: there was none with
    /// a limit yet.
    instant observed_at{};
    /// Whether this gateway received the answer.
    bool is_own = false;
};

/// State of one endpoint as this gateway knows it.
struct endpoint_state {
    /// Time constant for rates, long enough to cover several of the largest prompts.
    static constexpr duration rate_time_constant = std::chrono::milliseconds{700};

    explicit endpoint_state(endpoint_record value) : record{std::move(value)} {}

    endpoint_record record;
    double pending_tokens = 0.0;
    unsigned running = 0;
    /// Prompt tokens recently sent by this gateway.
    decaying_sum sent_tokens{rate_time_constant};
    /// Load caused by other gateways together, and the number of those that report any.
    peer_load peers_total;
    unsigned reporting_peers = 0;
    /// Moving average of the share of calls that failed.
    double failure_rate = 0.0;
    unsigned consecutive_failures = 0;
    unsigned consecutive_unreachable = 0;
    /// No request is sent here before this time, unless more than half of the service's endpoints that accept
    /// requests are suspected.
    instant suspected_until{};
    instant cold_until{};
    /// Shared prompt parts that were sent here, each with the time at which it was last sent.
    std::unordered_map<std::uint64_t, instant> cached_parts;

    /// Returns how many tokens at the beginning of `shared_parts` are cached here, as far as this gateway
    /// knows.
    [[nodiscard]] double cached_tokens(std::span<const prompt_part> shared_parts, instant now) const;
    /// Records that a prompt that begins with `shared_parts` was sent here.
    void note_sent(std::span<const prompt_part> shared_parts, instant now);
    /// Add and remove the load that another gateway causes here.
    void add_peer(const peer_load& load);
    void remove_peer(const peer_load& load);
    std::optional<fleet_rate_limiter> cold_limiter;
    /// When this gateway learnt from an answer that the endpoint leaves; `instant::max()`: it did not.
    instant leaving_since = instant::max();
    /// End of the time for which the endpoint wants no requests.
    instant paused_until{};
    /// Whether this gateway was told of a pause itself.
    bool is_pause_own = false;
    /// After a pause, until the first success: requests are sent one after the other, the next one at
    /// `resume_at` at the earliest.
    bool is_resuming = false;
    instant resume_at{};
    stated_limit limit;
    /// This gateway's part of the limit; empty while none is stated.
    std::optional<fleet_rate_limiter> limiter;
    /// Whether this gateway has a part of the limit while it is known from recent answers.
    bool is_limit_sharer = false;
};

/// The first endpoints for a key, by `rendezvous_weight`. It spares a request that is placed again and again
/// the ranking of all endpoints; `endpoint_table` fills it.
struct endpoint_ranking {
    /// Of the endpoint table when the ranking was made; 0: there is none.
    std::uint64_t generation = 0;
    std::vector<endpoint_state*> first;
};

/// What `endpoint_table::loads_of` is to return.
struct endpoint_query {
    /// Instances that are not usable.
    std::span<const std::string> excluded;
    /// The shared parts of the prompt whose cached tokens are returned.
    std::span<const prompt_part> shared_parts;
    /// Where above 0, only this many usable endpoints are returned: the first ones by `rendezvous_weight` for
    /// `key`.
    std::size_t limit = 0;
    std::uint64_t key = 0;
    /// Ranking for `key` from an earlier query with the same service and key; may be null.
    endpoint_ranking* ranking = nullptr;
    /// Where not null, only endpoints of this software version are usable.
    const std::string* version = nullptr;
    /// Software versions whose endpoints are not usable.
    std::span<const std::string> excluded_versions{};
    /// Where not null, only these instances are usable.
    const std::set<std::string, std::less<>>* instances = nullptr;
};

/// The endpoints of all services, with their load and health. Used by one thread at a time.
class endpoint_table {
public:
    /// Weight of the newest call in the failure rate; the last five calls make up two thirds of it.
    static constexpr double failure_weight = 0.2;
    /// Failure rate from which an endpoint is suspected, in addition to twice the mean rate of the other
    /// endpoints of its service.
    static constexpr double suspicion_threshold = 0.3;
    /// A suspicion lasts the base time, doubled once for each consecutive failure, and the maximum time at
    /// most.
    static constexpr duration base_suspicion_time = std::chrono::milliseconds{250};
    static constexpr duration max_suspicion_time = std::chrono::seconds{2};
    /// Time for which an endpoint gets no requests after it reported that it is full: about the time of one
    /// short answer.
    static constexpr duration full_backoff = std::chrono::milliseconds{50};
    /// Time for which an endpoint gets no requests after another instance answered at its address. By then
    /// the registry has the new registration.
    static constexpr duration misdirected_backoff = std::chrono::seconds{3};

    /// Fraction of the rate of a cold endpoint that is used. The rest is a margin for requests of several
    /// gateways that arrive together.
    static constexpr double cold_rate_share = 0.8;
    /// Longest pause of an endpoint that is heeded.
    static constexpr duration max_pause = std::chrono::minutes{1};
    /// Time between the first requests after a pause: some answers begin within it.
    static constexpr duration resume_interval = std::chrono::milliseconds{100};
    /// Least part of a stated limit, in requests per second, for which a gateway shares in it: with many
    /// gateways some share a limit, so that each of them gets answers that tell how it changes.
    static constexpr double min_limit_part = 0.5;
    /// Time after the last answer from which all gateways share a limit, in case those that did have no
    /// requests for the endpoint.
    static constexpr duration limit_lifetime = std::chrono::seconds{5};
    /// Least limit that is heeded, in requests per second: a request now and then shows whether it still
    /// holds.
    static constexpr double min_limit = 0.2;

    /// `seed` is drawn at random by each gateway, so that their limiters are out of phase. `own_name` is the
    /// name under which this gateway reports.
    endpoint_table(std::uint64_t seed, std::string own_name) : seed_{seed}, roster_{std::move(own_name)} {}

    /// Replaces the endpoints. Those that are still listed keep their load and health, unless they have been
    /// restarted.
    void set_endpoints(std::span<const endpoint_record> records, const routing_configuration& configuration,
                       std::size_t gateways, instant now);

    /// Replaces the set of failure domains that get no new requests.
    void set_out_of_service(std::set<std::string, std::less<>> failure_domains);

    /// Changes the number of gateways that share the limits of endpoints.
    void set_gateways(std::size_t gateways);

    /// Replaces the names of the other gateways whose reports are current.
    void set_others(const std::set<std::string, std::less<>>& names);

    /// Records that an answer stated that the endpoint leaves. It gets no more requests, also if the registry
    /// shows it as ready, until it starts anew. Returns whether that is news.
    bool note_leaving(endpoint_state& endpoint, instant now);

    /// Records that the endpoint wants no requests for `length`, at most `max_pause`. Returns whether that is
    /// longer than known.
    static bool note_pause(endpoint_state& endpoint, duration length, instant now);

    /// Returns the earliest time at which an endpoint of `service` that is in service is not paused;
    /// `instant::max()` if it has none.
    [[nodiscard]] instant end_of_pauses(std::string_view service) const;

    /// Returns the state of the endpoint at `address` other than `instance`; null if there is none.
    endpoint_state* find_other_at(const endpoint_address& address, std::string_view instance);

    /// Records the limit that an answer stated; 0: none. Ignored where a later answer is known. Returns
    /// whether the limit has changed.
    bool note_limit(endpoint_state& endpoint, double requests_per_second, instant observed_at, bool is_own,
                    instant now);

    /// Returns whether `tried` names every endpoint of `service` that is neither draining nor out of service.
    /// Endpoints of other software versions than `version` count as tried if it is not null.
    [[nodiscard]] bool are_all_tried(std::string_view service, std::span<const std::string> tried,
                                     const std::string* version = nullptr) const;

    /// Returns whether an endpoint of `service` with this software version is registered.
    /// Returns whether `service` has endpoints and the software version of each one is in `versions`.
    [[nodiscard]] bool has_only_versions(std::string_view service,
                                         std::span<const std::string> versions) const;

    [[nodiscard]] bool has_version(std::string_view service, std::string_view version) const;

    /// Returns the number of requests of this gateway that are open at endpoints of `service` with another
    /// software version than `version`.
    [[nodiscard]] std::uint64_t running_elsewhere(std::string_view service, std::string_view version) const;

    /// Sets the number of gateways whose load is unknown. Each of them is assumed to cause as much load as
    /// this one.
    void set_non_reporting_gateways(std::size_t gateways) { non_reporting_gateways_ = gateways; }

    /// Replaces the load reported by `gateway`. An empty list removes it.
    void set_peer_load(std::string_view gateway, std::span<const reported_endpoint_load> loads);

    /// Returns the number of endpoints of `service`, usable or not.
    [[nodiscard]] std::size_t endpoint_count(std::string_view service) const;

    /// Returns the loads of the endpoints of `service` that `query` asks for; valid until the table is
    /// changed. `states` receives their states in the same order.
    std::vector<endpoint_load> loads_of(std::string_view service, instant now, const endpoint_query& query,
                                        std::vector<endpoint_state*>& states);

    /// Returns whether the endpoint drains, as the registry says, or leaves, as its answers say.
    [[nodiscard]] static bool is_departing(const endpoint_state& endpoint);

    /// Returns the state of `instance`; null if it is not listed.
    endpoint_state* find(std::string_view instance);

    /// Records the result of a call. `was_reached` is false if no connection to the endpoint could be made.
    void note_success(endpoint_state& endpoint);
    void note_failure(endpoint_state& endpoint, bool was_reached, instant now);

    /// Records that the endpoint did not execute a request because it is full or, if `is_misdirected`,
    /// because another instance has its address.
    static void note_rejection(endpoint_state& endpoint, bool is_misdirected, instant now);

    /// Returns the earliest time at which a cold endpoint takes its next request or a suspicion ends;
    /// `instant::max()` if no endpoint is held back.
    [[nodiscard]] instant next_availability(instant now) const;

    /// Returns how often all endpoints of a service were ranked.
    [[nodiscard]] std::uint64_t rankings() const { return rankings_; }

    [[nodiscard]] const std::map<std::string, std::unique_ptr<endpoint_state>, std::less<>>& all() const
    {
        return endpoints_;
    }

private:
    /// Which endpoints may take a request: if more than half of those that accept requests are suspected, a
    /// fault of this gateway or of the network is more likely than a fault of each endpoint, so that the
    /// suspicions are ignored.
    enum class usability : std::uint8_t {
        not_suspected,
        reachable,
        accepting,
    };

    static void suspect(endpoint_state& endpoint, instant until);
    [[nodiscard]] usability usability_of(std::span<endpoint_state* const> states, const endpoint_query& query,
                                         instant now) const;
    [[nodiscard]] bool is_usable(const endpoint_state& endpoint, usability usable,
                                 const endpoint_query& query, instant now) const;
    /// Fills `ranking` with the first of `states` for `key`.
    void rank(std::span<endpoint_state* const> states, std::uint64_t key, std::size_t limit,
              endpoint_ranking& ranking);
    [[nodiscard]] endpoint_load load_of(const endpoint_state& endpoint,
                                        std::span<const prompt_part> shared_parts, bool is_usable,
                                        instant now) const;
    [[nodiscard]] bool accepts_requests(const endpoint_state& endpoint, instant now) const;
    [[nodiscard]] double mean_failure_rate(std::string_view service, const endpoint_state& except) const;

    [[nodiscard]] double phase_of(std::string_view instance) const;
    /// Computes this gateway's part of the limit of `endpoint`. Precondition: it has one.
    void update_limit_part(endpoint_state& endpoint) const;
    [[nodiscard]] static bool is_within_limit(const endpoint_state& endpoint, instant now);

    /// The load that another gateway has reported for an endpoint.
    struct attributed_load {
        endpoint_state* endpoint = nullptr;
        peer_load load;
    };

    std::uint64_t seed_;
    gateway_roster roster_;
    std::size_t gateways_ = 1;
    std::size_t non_reporting_gateways_ = 0;
    std::map<std::string, std::unique_ptr<endpoint_state>, std::less<>> endpoints_;
    std::map<std::string, std::vector<endpoint_state*>, std::less<>> by_service_;
    /// Changes with the endpoints.
    std::uint64_t generation_ = 1;
    std::uint64_t rankings_ = 0;
    /// What the other gateways have reported last, by their names.
    std::map<std::string, std::vector<attributed_load>, std::less<>> peer_loads_;
    std::set<std::string, std::less<>> out_of_service_;
    /// Start times of endpoints that stated that they leave, by instance. They stay known when the registry
    /// loses an endpoint and shows it again.
    std::map<std::string, std::uint64_t, std::less<>> leaving_;
};

} // namespace hemlocknotch::gateway
