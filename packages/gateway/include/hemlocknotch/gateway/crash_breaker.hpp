#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/gateway_roster.hpp>
#include <hemlocknotch/gateway/request_signature.hpp>
#include <hemlocknotch/gateway/signature_block.hpp>
#include <hemlocknotch/gateway/signature_report.hpp>
#include <hemlocknotch/gateway/waiting_queue.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Whether a request may be sent to an endpoint.
enum class signature_verdict : std::uint8_t {
    allowed,
    /// It may be sent, as the only one with a suspected signature.
    trial,
    /// Requests with one of its signatures are suspected of crashing endpoints, and another one is the trial.
    suspected,
    /// A request with one of its signatures crashed the endpoint of a trial, too.
    blocked,
};

/// Returned by `crash_breaker::decide`.
struct signature_decision {
    signature_verdict verdict = signature_verdict::allowed;
    /// The signature that it follows from, if not `allowed`.
    request_signature signature;
    /// Time after which another attempt may succeed.
    duration retry_after{};

    [[nodiscard]] bool is_permitted() const
    {
        return verdict == signature_verdict::allowed || verdict == signature_verdict::trial;
    }
};

/// A change of what is believed of a signature.
struct signature_event {
    enum class kind : std::uint8_t { suspected, blocked, cleared, lifted };

    kind what = kind::suspected;
    request_signature signature;
    /// Endpoints that ended on such requests.
    std::vector<std::string> endpoints;
    /// Number of the block, from 1; 0 if it was not blocked.
    unsigned block = 0;
    /// The other gateway that reported the change; empty if this one decided it.
    std::string source;
};

/// Circuit breaker (Nygard, "Release It!", 2007) for each signature of requests: stops requests that crash
/// the endpoints which execute them, before they reach one endpoint after the other. A request has the
/// signatures of the shared parts of its prompt, and that of itself as a whole.
///
/// An end of an endpoint counts against the signatures of the requests that it had not begun to answer, or
/// only just. A sound run of a request with the signature anywhere in the fleet clears it, so those that many
/// requests share are cleared within milliseconds. A signature with ends of two endpoints is suspected: a
/// gateway sends one such request at a time, as a trial, and the gateways may begin trials one after the
/// other, in the order of rendezvous hashing of the signature. If a trial ends its endpoint too, the
/// signature is blocked for all gateways, the first time for a short time. Later trials block it again unless
/// their requests are answered, since each of them reaches an endpoint.
///
/// No I/O and no clock; used by one thread at a time.
class crash_breaker {
public:
    /// Number of endpoints that have to end for a signature to be suspected, and to be blocked.
    static constexpr std::size_t suspicion_ends = 2;
    static constexpr std::size_t block_ends = 3;
    /// Time after the last end until the next trial. Endpoints of one failure domain end together, which says
    /// nothing against a request.
    static constexpr duration trial_delay = std::chrono::milliseconds{500};
    /// Maximum number of times that this delay is doubled: once for each trial without a result, such as one
    /// that the endpoint rejected.
    static constexpr unsigned max_trial_doublings = 4;
    /// Time from which one gateway after the other may begin a trial, and the longest time for all of them.
    static constexpr duration trial_step = std::chrono::seconds{1};
    static constexpr duration max_trial_spread = std::chrono::seconds{10};
    /// Duration of the first block of a request as a whole, after which one trial follows; twice as long
    /// after a trial without a result.
    static constexpr duration short_block_time = std::chrono::seconds{5};
    /// Duration of the first block of a prompt part and of the block of a request after a second trial has
    /// ended its endpoint, and of later ones.
    static constexpr duration first_block_time = std::chrono::minutes{1};
    static constexpr duration block_time = std::chrono::minutes{10};
    /// Time after its first event from which an answer that goes on counts as a sound run.
    static constexpr duration sound_run_time = std::chrono::milliseconds{250};
    /// Time for which an end counts.
    static constexpr duration evidence_lifetime = std::chrono::minutes{10};
    /// Time that a caller with a suspected request is told to wait: some trials.
    static constexpr duration suspicion_retry_time = std::chrono::seconds{1};
    /// Maximum number of signatures with a state; bounds memory.
    static constexpr std::size_t max_signatures = 1024;
    /// Maximum number of signatures of one request that are considered, the last ones.
    static constexpr std::size_t max_signatures_per_request = 33;
    /// Maximum number of signatures of each kind, and of endpoints for each, in a report.
    static constexpr std::size_t max_reported = 64;
    static constexpr std::size_t max_reported_ends = 8;

    /// `own_name` is the name under which this gateway reports.
    explicit crash_breaker(std::string own_name);

    /// Replaces the names of the other gateways whose reports are current.
    void set_others(const std::set<std::string, std::less<>>& names) { roster_.set_others(names); }

    /// Returns whether nothing is known against any request, so that all requests are allowed.
    [[nodiscard]] bool is_idle() const { return states_.empty(); }

    /// Decides on the request `exchange` with `signatures`.
    [[nodiscard]] signature_decision decide(exchange_id exchange,
                                            std::span<const request_signature> signatures, instant now) const;

    /// Records that the request was sent. If it has suspected signatures, it is their trial until
    /// `note_done`.
    void note_sent(exchange_id exchange, std::span<const request_signature> signatures);
    /// Records that the call of the request has ended, however it did. `was_reached` is false if nothing was
    /// sent to an endpoint, so that the request may be sent to another one at once.
    void note_done(exchange_id exchange, std::span<const request_signature> signatures, bool was_reached,
                   instant now);

    /// Records that an endpoint ended before a sound run of the request. `endpoint` names one start of it.
    /// Call before `note_done`.
    void note_end(exchange_id exchange, std::span<const request_signature> signatures,
                  std::string_view endpoint, instant now);
    /// Records that an endpoint has answered a call that was sent at `sent_at`. `endpoint` names one start of
    /// it. What was recorded as its end before that was only the end of a call, and counts no more.
    void note_answer(std::string_view endpoint, instant sent_at);
    /// Records a sound run of a request with `signatures`.
    void note_sound(std::span<const request_signature> signatures, instant now);

    /// Returns what this gateway knows against signatures, and which ones it has cleared, for the others.
    [[nodiscard]] signature_reports create_report(instant now);
    /// Applies the report of another gateway.
    void apply_report(std::string_view gateway, const signature_reports& report, instant now);
    /// Removes what `gateway` has reported of ends. Blocks stay.
    void remove_gateway(std::string_view gateway);

    /// Applies the blocks in the registry. Those of `lifted` were removed from it.
    void set_registered(std::span<const signature_block> blocks, std::span<const request_signature> lifted,
                        instant now);
    /// Returns the blocks that this gateway has to write to the registry.
    [[nodiscard]] std::vector<signature_block> blocks_to_register(instant now) const;
    /// Returns the signatures whose blocks this gateway has to remove from the registry, each once.
    [[nodiscard]] std::vector<request_signature> take_blocks_to_remove();

    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<signature_event> take_events();
    /// Returns whether a change of this gateway should be reported without delay, once for each change.
    [[nodiscard]] bool take_urgency();

    /// Return the number of signatures that anything is known against, and of those that are blocked.
    [[nodiscard]] std::size_t signature_count() const { return states_.size(); }

    [[nodiscard]] std::size_t blocked_count(instant now) const;

private:
    struct signature_state {
        /// Endpoints that this gateway saw end, each with the time.
        std::map<std::string, instant, std::less<>> ends;
        /// Ends that other gateways have reported, by their names.
        std::map<std::string, std::vector<std::string>, std::less<>> reported_ends;
        /// Other gateways that have reported a trial in progress.
        std::set<std::string, std::less<>> reported_trials;
        /// When the last end was recorded or reported, or the last block began.
        instant changed_at{};
        unsigned block = 0;
        instant blocked_until{};
        /// Number of the block in the registry; 0: none.
        unsigned registered_block = 0;
        /// The request that is the trial; 0: none.
        exchange_id trial = 0;
        /// Consecutive trials of this gateway without a result, and the end of the last one.
        unsigned trials_without_result = 0;
        instant trial_ended_at{};
    };

    using state_map = std::map<request_signature, signature_state>;

    [[nodiscard]] static std::set<std::string_view> endpoints_of(const signature_state& it);
    [[nodiscard]] static bool is_suspected(const signature_state& it);
    /// Returns the time after which this gateway is the next to act on `signature`, if no other one has.
    [[nodiscard]] duration turn_of(const request_signature& signature) const;
    signature_state& find_or_add(const request_signature& signature, instant now);
    /// Blocks a signature whose trial ended its endpoint, if enough endpoints have ended.
    void block_after_trial(const request_signature& tried, instant now);
    /// Begins block number `block`, as this gateway has decided, and tells the others at once.
    void begin_block(const request_signature& signature, signature_state& it, unsigned block, instant now);
    void set_block(const request_signature& signature, signature_state& it, unsigned block,
                   duration remaining, instant now, std::string_view source);
    static void remove_trial(signature_state& it, std::string_view gateway);
    void add_event(signature_event::kind what, const request_signature& signature, const signature_state& it,
                   std::string_view source);
    void clear(const request_signature& signature, signature_event::kind what, std::string_view source);
    void remove_outdated(instant now);
    /// Returns whether this gateway tries a request as a whole other than `exchange`. Two trials at one
    /// endpoint would not tell which of them ended it.
    [[nodiscard]] bool has_other_request_trial(exchange_id exchange) const;
    /// Returns what is reported of one kind: suspected signatures first, then the ones with the latest ends.
    [[nodiscard]] std::vector<const state_map::value_type*> entries_to_report(bool are_prompt_parts,
                                                                              instant now) const;

    gateway_roster roster_;
    state_map states_;
    /// Endpoints that this gateway saw end, each with the last time.
    std::map<std::string, instant, std::less<>> ended_;
    /// Signatures that this gateway has cleared or seen lifted, with the time. Older reports do not restore
    /// them.
    std::map<request_signature, instant> sound_;
    std::map<request_signature, instant> lifted_;
    std::vector<request_signature> blocks_to_remove_;
    std::vector<signature_event> events_;
    bool is_urgent_ = false;
};

} // namespace hemlocknotch::gateway
