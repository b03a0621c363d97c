#pragma once

#include <hemlocknotch/gateway/account_ledger.hpp>
#include <hemlocknotch/gateway/answer_memory.hpp>
#include <hemlocknotch/gateway/endpoint_table.hpp>
#include <hemlocknotch/gateway/fleet_report.hpp>
#include <hemlocknotch/gateway/placement_policy.hpp>
#include <hemlocknotch/gateway/retry_budget.hpp>
#include <hemlocknotch/gateway/router_port.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>
#include <hemlocknotch/gateway/waiting_queue.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

class call_table;
class caller_answers;
class endpoint_announcements;
class exchange_table;
class fleet_reports;
class crash_breaker;
class rollout_plan;
class rollout_table;
class service_admission;
class stream_origins;
struct exchange;
struct exchange_context;
struct registered_rollouts;
struct request_signature;
struct signature_block;
struct signature_decision;
struct retry_advice;
struct rollout_report;
struct stream_report;
struct unserved_end;
struct version_choice;

/// Settings of the router.
struct router_options {
    /// Name under which this gateway reports to the others.
    std::string gateway;
    retry_bound retries;
    /// Drawn at random by each gateway, so that gateways do not act in lockstep.
    std::uint64_t seed = 0;
    /// Fraction of a route's objective for which a request may wait for an endpoint. A request that waits
    /// longer would be late once its first token has been computed.
    double wait_share = 0.5;
    /// Prompt tokens that one generated token counts as, the same as in the figures of the operators.
    double output_weight = 2.0;
    /// Fraction of its maximum output tokens that a request without a hint is expected to generate.
    double expected_output_share = 0.5;
    /// Time for which requests of an account must have been waiting without a gap before the rate at which
    /// requests are sent is used to estimate the wait of a new one of it. Until then that rate only shows how
    /// many requests arrived.
    duration backlog_time = std::chrono::milliseconds{300};
    /// Waiting requests that are offered to endpoints in one step; bounds the duration of a step.
    std::size_t offers_per_step = 64;
    /// Fraction of a route's objective for which a request of an account over its fair share may wait.
    double excess_wait_share = 0.0;
    /// Multiple of the configured token rate of all endpoints, out of which the fair shares of
    /// the accounts are computed.
    double share_capacity = 1.25;
    /// Multiple of its fair share up to which the requests of an account are admitted. What it requests
    /// beyond that is refused at arrival.
    double admitted_shares = 1.5;
    /// Tokens per second that one model endpoint processes if none are configured.
    double default_endpoint_rate = 18'000.0;
    /// The current throughput of the endpoints is estimated as this multiple of the rate recently served, so
    /// that the accounts' shares of it can grow.
    double present_headroom = 1.15;
    /// Share of a service's requests that a new software version may get before it is known to be good.
    double exposure_share = 0.1;
    /// See `answer_memory`.
    std::size_t answer_bytes = answer_memory::default_max_bytes;
    /// Maximum number of requests in the gateway; bounds its memory.
    std::size_t max_exchanges = 2000;
};

/// Totals for the metrics page.
struct router_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed_streams = 0;
};

/// Makes all decisions about requests: whether they are admitted, where they are executed, which ones wait,
/// are refused or are retried, and what the caller is answered. No I/O and no clock; used by one thread at a
/// time.
class router {
public:
    /// All references must outlive the router.
    router(const router_options& options, const placement_policy& model_placement,
           const placement_policy& plain_placement, router_port& port);
    ~router();
    router(const router&) = delete;
    router(router&&) = delete;
    router& operator=(const router&) = delete;
    router& operator=(router&&) = delete;

    /// Applies a configuration if it is newer. Open requests keep the one with which they began.
    void set_configuration(std::shared_ptr<const routing_configuration> configuration, instant now);
    /// Applies the registered endpoints. Requests that wait for a connection to one that leaves are sent
    /// elsewhere.
    void set_endpoints(std::span<const endpoint_record> records, instant now);
    void set_out_of_service(std::set<std::string, std::less<>> failure_domains);
    /// Sets the number of gateways that share the limits of the fleet. Precondition: at least 1.
    void set_gateways(std::size_t gateways);

    /// Handles a caller's request. Precondition: `exchange` is not in use.
    void on_request(exchange_id exchange, std::shared_ptr<const caller_request> request, instant now);
    /// The caller has disconnected. Ignored if the exchange has ended.
    void on_caller_disconnected(exchange_id exchange, instant now);

    /// The caller of a stream has taken all that was sent to it. Ignored if the exchange has ended.
    void on_caller_drained(exchange_id exchange);

    /// The connection of a call is established, and its request is sent after this. Cancels the call where
    /// its caller has disconnected or its time has passed. Ignored if the call has ended.
    void on_connected(call_id call, instant now);
    /// Events of an endpoint's answer. Ignored if the call has ended.
    void on_head(call_id call, answer_head head, const answer_fields& fields, instant now);
    void on_part(call_id call, std::string_view bytes, instant now);
    void on_end(call_id call, call_outcome outcome, instant now);

    /// Returns the report of this gateway for the others; the sender fills in name, incarnation and sequence.
    [[nodiscard]] fleet_report create_report(instant now) const;
    /// Applies the report of another gateway. Waiting requests are offered the room that it shows by the next
    /// `on_timer`, which is due then.
    void apply_report(const fleet_report& report, instant now);
    /// Removes the load that `gateway` has reported: it left the fleet or its reports no longer arrive.
    void remove_gateway(std::string_view gateway);

    /// Returns what the other gateways have to know of the streams that were begun here; the sender fills in
    /// the name.
    [[nodiscard]] stream_report create_stream_report(instant now);
    void apply_stream_report(const stream_report& report, instant now);
    /// Returns whether a stream report is due at once: a caller has left a stream that it may take up at
    /// another gateway. The next call returns false.
    [[nodiscard]] bool take_stream_urgency();

    /// Returns what is known of the versions that began streams.
    [[nodiscard]] stream_origins& origins() { return *origins_; }

    /// Applies the blocks of signatures that are in the registry. Those of `lifted` were removed from it.
    void set_registered_blocks(std::span<const signature_block> blocks,
                               std::span<const request_signature> lifted, instant now);

    /// Applies what the registry holds of roll-outs.
    void set_registered_rollouts(const registered_rollouts& registered, instant now);
    void apply_rollout_report(const rollout_report& report, instant now);

    /// Returns the roll-outs of all services.
    [[nodiscard]] rollout_table& rollouts() { return *rollouts_; }

    /// Bounds the memory of the answers that pass through this gateway, those included that the port holds.
    [[nodiscard]] answer_memory& memory_of_answers() { return answer_memory_; }

    /// Returns what became of the requests of each account here, for the log.
    [[nodiscard]] account_ledger& accounts() { return accounts_; }

    /// Returns what is known against requests that may crash endpoints.
    [[nodiscard]] crash_breaker& breaker() { return *breaker_; }

    /// Handles everything that is due at `now`.
    void on_timer(instant now);
    /// Returns when `on_timer` is to be called next.
    [[nodiscard]] instant next_due(instant now) const;

    /// The gateway stops and ends at `ends_at`. From now on a request is begun at an endpoint only where its
    /// time limit ends by then, so that it is answered in any case. Others that wait or come are refused.
    void begin_stop(instant ends_at, instant now);
    /// Ends all requests, each with what is known of its execution. Streams that have begun are cut off.
    void end_all(instant now);

    [[nodiscard]] bool has_configuration() const { return configuration_ != nullptr; }

    [[nodiscard]] std::size_t exchange_count() const;

    [[nodiscard]] const router_counters& counters() const;

private:
    service_admission& service_of(std::string_view name);
    void admit(exchange& it, instant now);
    /// Sends the request if an endpoint has room. Returns true also where its caller has left and it is
    /// dropped; `it` is invalid then.
    bool try_send(exchange& it, instant now);
    /// Returns whether the caller of a request that was held for long has disconnected, although this gateway
    /// has not handled that yet.
    [[nodiscard]] bool has_disconnected_unnoticed(const exchange& it, instant now);
    /// Ends a request whose caller has disconnected. Precondition: it has no call.
    void drop(exchange& it, instant now);
    void offer_waiting(instant now);
    /// Lets the endpoint of a stream wait where its caller takes the events more slowly.
    void pause_if_congested(exchange& it);
    void send(exchange& it, endpoint_state& endpoint, instant now);
    /// Returns at which versions the request may be sent, as the stream that it continues or a roll-out of
    /// its service says.
    [[nodiscard]] version_choice versions_for(const exchange& it, instant now) const;
    /// Returns whether a stream that `version` began may go on there.
    [[nodiscard]] bool may_continue_at(std::string_view service, std::string_view version) const;
    void note_rollout_sent(exchange& it);
    /// Returns the endpoint for the request among those that `choice` permits; null if none has room.
    endpoint_state* choose_endpoint(exchange& it, const version_choice& choice, instant now);
    /// Returns the number of endpoints of the request's service that take new requests: only one of two
    /// versions during a roll-out.
    [[nodiscard]] std::size_t serving_endpoints(const exchange& it, instant now) const;
    /// Judges the roll-outs, logs what has changed, and offers waiting requests the endpoints that it opens.
    void update_rollouts(instant now);
    /// Counts the answer of the request's call for a roll-out of its service: that it has come, that it
    /// failed, or that its caller has left without it.
    void note_rollout_answered(exchange& it, instant now);
    void note_rollout_failed(exchange& it);
    void note_rollout_abandoned(exchange& it, instant now);
    /// Returns the endpoint of the request's call where its answers are counted for a roll-out; null
    /// otherwise.
    [[nodiscard]] const endpoint_state* compared_endpoint(const exchange& it);
    void recall_from_leaving_endpoints(instant now);
    void send_again(exchange& it, instant now);
    /// Refuses a request that no endpoint has received and that the gateway may not live to answer. Returns
    /// whether it was refused; `it` is invalid then.
    bool refuse_before_stop(exchange& it, instant now);
    void enqueue_or_refuse(exchange& it, instant now);
    /// Finds the software version at which a stream that its caller takes up may go on. Returns whether the
    /// request was refused since there is none; `it` is invalid then.
    bool refuse_take_up(exchange& it, instant now);
    /// Returns the software versions that may not begin the stream of the request yet.
    [[nodiscard]] std::vector<std::string> versions_to_avoid(const exchange& it, instant now) const;
    /// Records which software version began the stream, of which the first event is about to be passed on.
    void note_stream_begun(exchange& it, instant now);
    void handle_failure(exchange& it, call_outcome outcome, instant now);
    /// The endpoint that was to continue a stream answers with something else, of which the caller cannot be
    /// given anything. The call has been cancelled or has ended.
    void handle_failed_resumption(exchange& it, instant now);
    void handle_rejection(exchange& it, instant now);
    void handle_complete_answer(exchange& it, instant now);
    /// Tells those that share work by the names of gateways which ones report.
    void set_others();
    /// Logs what the endpoint `instance` was working on for this gateway when it broke off a call.
    void log_cut_calls(std::string_view instance);
    bool retry(exchange& it, bool was_executed, instant now);
    void finish_stream(exchange& it, instant now);
    void end_unserved(exchange& it, const unserved_end& end, bool may_have_run, instant now);
    void refuse(exchange& it, int status, std::string_view reason, const retry_advice& advice, instant now);
    /// Refuses a request whose route or key the configuration lacks; for a short time where another gateway
    /// has a newer one.
    void refuse_unknown(exchange& it, int status, std::string_view reason, instant now);
    void expire(exchange& it, instant now);
    void finish_call(exchange& it, instant now);
    /// Ends a call of which its endpoint received nothing.
    void finish_unsent_call(exchange& it, instant now);
    /// Returns the signatures of the request, the most specific one last.
    static std::span<const request_signature> signatures_of(exchange& it);
    [[nodiscard]] signature_decision decide_signatures(exchange& it, instant now) const;
    void refuse_signature(exchange& it, const signature_decision& decision, instant now);
    void note_call_done(exchange& it, bool was_reached, instant now);
    /// Records a call that its endpoint cut, if it may have ended on the prompt.
    void note_cut(exchange& it, instant now);
    /// Records that the endpoint of the request's call answers.
    void note_endpoint_alive(const exchange& it);
    void note_sound_run(exchange& it, instant now);
    /// Logs what changed in the knowledge of signatures, and ends the requests that may not be sent any
    /// more.
    void apply_signature_events(instant now);
    void end_restricted_requests(instant now);
    void erase(const exchange& it);
    [[nodiscard]] exchange_context context_of(const exchange& it, instant now) const;
    [[nodiscard]] duration registry_age(instant now) const;
    exchange* find_by_call(call_id call);

    router_options options_;
    const placement_policy& model_placement_;
    const placement_policy& plain_placement_;
    router_port& port_;
    std::shared_ptr<const routing_configuration> configuration_;
    std::vector<endpoint_record> records_;
    /// When the gateway ends; `instant::max()` unless it stops.
    instant stops_at_ = instant::max();
    endpoint_table endpoints_;
    answer_memory answer_memory_;
    account_ledger accounts_;
    /// Creates and applies the load reports that the gateways exchange.
    std::unique_ptr<fleet_reports> reports_;
    std::unique_ptr<exchange_table> exchanges_;
    std::unique_ptr<caller_answers> answers_;
    std::unique_ptr<call_table> calls_;
    std::unique_ptr<crash_breaker> breaker_;
    std::unique_ptr<endpoint_announcements> announcements_;
    std::unique_ptr<stream_origins> origins_;
    std::unique_ptr<rollout_table> rollouts_;
    bool is_stream_report_due_ = false;
    std::map<std::string, std::unique_ptr<service_admission>, std::less<>> services_;
};

} // namespace hemlocknotch::gateway
