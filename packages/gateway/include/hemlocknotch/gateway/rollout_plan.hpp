#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/endpoint_record.hpp>
#include <hemlocknotch/gateway/exposure_budget.hpp>
#include <hemlocknotch/gateway/rollout.hpp>
#include <hemlocknotch/gateway/rollout_judge.hpp>
#include <hemlocknotch/gateway/rollout_report.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// At which software versions a request may be sent.
struct version_choice {
    /// Where not null, the request goes to endpoints of this version.
    const std::string* only = nullptr;
    /// Where not null, only to these of its endpoints.
    const std::set<std::string, std::less<>>* instances = nullptr;
    /// Whether the request may go to the other versions where `only` has no room.
    bool may_fall_back = true;
    /// Versions to which it does not go.
    std::span<const std::string> avoided;
};

/// A record that is to be written to the registry in place of the one at `replaced`.
struct rollout_write {
    rollout_record record;
    /// Position of the record that is known; revision 0: none.
    rollout_position replaced;
};

/// The roll-out of one service as one gateway carries it out: how many requests the new version gets, when it
/// gets more, and how the roll-out ends. Gateways agree by their reports and by a record in the registry that
/// is written conditionally; see docs/design/rollouts.md. Used by one thread at a time.
class rollout_plan {
public:
    /// Part of the permitted exposure that is used. The rest is a margin for requests that other instances
    /// count differently.
    static constexpr double used_exposure = 0.8;
    /// Parts of the time limit: for which the new version is observed, in which its share grows to all
    /// requests, after which open requests at other versions are not waited for, and after which a roll-out
    /// that is still observing is given up.
    static constexpr double observing_part = 0.5;
    static constexpr double ramp_part = 0.1;
    static constexpr double finish_part = 0.85;
    static constexpr double give_up_part = 0.75;
    /// Longest times of the first two.
    static constexpr duration max_observing_time = std::chrono::minutes{2};
    static constexpr duration max_ramp_time = std::chrono::seconds{10};
    /// Time after a restore of the registry within which the operators write their orders again.
    static constexpr duration restore_hold = std::chrono::seconds{10};
    /// Time for which the gateways keep to the new version after completion: its predecessors' registrations
    /// have lapsed by then.
    static constexpr duration completion_hold = std::chrono::seconds{10};
    /// Time between two records that only state the time since the order.
    static constexpr duration checkpoint_interval = std::chrono::seconds{2};
    /// Time after which the next gateway writes a record that is due.
    static constexpr duration takeover_time = std::chrono::milliseconds{500};
    /// Time for which a gateway that finds a final record of another write of its order leaves it alone:
    /// gateways that know more write it anew after a restore.
    static constexpr duration doubt_time = std::chrono::seconds{1};
    /// Age of a gateway's report from which its open requests are not waited for: the gateway has ended.
    static constexpr duration max_report_age = std::chrono::seconds{3};
    /// Least part of the endpoints of the present versions that the new one needs before it takes over.
    static constexpr double min_capacity = 0.5;

    /// `exposure_share` is the share of the service's requests that a new version may get.
    rollout_plan(std::string service, double exposure_share);

    /// Applies what the registry holds as of `as_of`: the order and its position, and the record and its
    /// position; null where there is none.
    void set_registered(const rollout_order* order, rollout_position order_at, const rollout_record* record,
                        rollout_position record_at, rollout_position as_of, instant now);

    /// Replaces the endpoints of the service.
    void set_endpoints(std::span<const endpoint_record* const> records);

    /// Returns where a request may be sent that is drawn by `draw`, between 0 and 1. Valid until the plan is
    /// changed.
    [[nodiscard]] version_choice choose(double draw, bool is_first_attempt, instant now) const;

    /// Returns whether nothing may be sent to `version`, also no stream that it began.
    [[nodiscard]] bool is_blocked(std::string_view version) const;

    /// Returns whether the answers of endpoints are compared.
    [[nodiscard]] bool is_comparing() const { return order_ && !is_final(phase_); }

    /// Records a request that is sent to an endpoint of `version`.
    void note_sent(std::string_view version);

    /// Sets the number of requests of this gateway that are open at endpoints of other versions.
    void set_open_elsewhere(std::uint64_t count) { own_open_elsewhere_ = count; }

    /// Records an answer, or, where `is_correction`, that one which was counted as good has turned bad.
    void note_answer(const endpoint_record& endpoint, std::string_view route, bool is_bad,
                     bool is_correction = false);

    void apply_report(std::string_view gateway, const service_rollout_report& report, instant now);
    [[nodiscard]] std::optional<service_rollout_report> create_report(instant now) const;

    /// Judges and decides. To be called several times per second. A gateway that is not `is_judge` does not
    /// hear what the others have seen, and decides only on what it has seen to be bad itself.
    void update(bool is_judge, instant now);

    /// Returns what is to be written now by the gateway with `rank` in the order in which gateways write.
    std::optional<rollout_write> take_write(std::size_t rank, instant now);
    /// Records that the registry has taken `record` at `at`.
    void note_written(const rollout_record& record, rollout_position at, instant now);

    /// Returns whether a decision was made since the last call that the others should hear at once.
    bool take_urgency();
    /// Returns the log records of what has changed since the last call.
    std::vector<log_effect> take_log_records();

    [[nodiscard]] const std::string& service() const { return service_; }

    [[nodiscard]] const std::optional<rollout_order>& order() const { return order_; }

    [[nodiscard]] rollout_phase phase() const { return phase_; }

    /// Returns why the phase is as it is, or what the next one waits for.
    [[nodiscard]] const std::string& reason() const { return reason_; }

    [[nodiscard]] const rollout_judge& judge() const { return judge_; }

    [[nodiscard]] const exposure_budget& exposure() const { return exposure_; }

    /// Returns what all gateways have seen, as far as this one knows.
    [[nodiscard]] rollout_evidence total_evidence() const;

    [[nodiscard]] duration elapsed(instant now) const { return now - started_at_; }

    /// Returns how many of the `all` endpoints of the service take most of the new requests.
    [[nodiscard]] std::size_t serving_count(std::size_t all, instant now) const;

    /// Returns the number of endpoints that accept requests: of the new version, and of all others.
    [[nodiscard]] std::size_t candidate_count() const { return ranked_candidates_.size(); }

    [[nodiscard]] std::size_t reference_count() const { return reference_count_; }

private:
    /// The last report of another gateway.
    struct peer {
        service_rollout_report report;
        instant heard_at{};
    };

    void begin(const rollout_order& order, rollout_position at, instant now);
    void set_order(const rollout_order* order, rollout_position at, instant now);
    void adopt(const rollout_record& record, instant now);
    void enter(rollout_phase phase, std::string_view reason, instant now);
    void propose(rollout_phase phase, std::string_view reason);
    void update_observing(instant now);
    void update_moving(instant now);
    void update_versions();
    [[nodiscard]] bool is_about_order(const rollout_order& order, rollout_position at, instant now) const;
    [[nodiscard]] bool has_capacity() const;
    [[nodiscard]] std::uint64_t open_elsewhere(instant now) const;
    [[nodiscard]] duration part_of_limit(double part) const;
    [[nodiscard]] duration ramp_time() const;
    /// Returns the share of the requests that the new version gets while moving.
    [[nodiscard]] double moving_share(instant now) const;
    [[nodiscard]] rollout_record current_record(instant now) const;
    [[nodiscard]] bool is_write_due(instant now) const;

    std::string service_;
    double share_;
    std::optional<rollout_order> order_;
    rollout_position position_;
    bool is_order_registered_ = false;
    /// End of the time in which the operators write their orders again after a restore.
    instant hold_until_{};
    rollout_phase phase_ = rollout_phase::observing;
    instant phase_since_{};
    std::string reason_;
    /// When the order was given, as far as this gateway knows.
    instant started_at_{};
    /// Phase that is to be written, after which it takes effect.
    std::optional<rollout_phase> proposal_;
    std::string proposal_reason_;
    std::vector<std::string> blocked_;
    /// The versions that `choose` excludes: the blocked ones and the new one.
    std::vector<std::string> blocked_and_new_;

    std::optional<rollout_record> record_;
    rollout_position record_at_;
    /// Since when a write is due; `instant::max()`: none is.
    instant write_due_since_ = instant::max();
    instant next_write_{};

    std::vector<endpoint_record> endpoints_;
    /// Endpoints of the new version that are not draining, in the order in which they get requests.
    std::vector<std::string> ranked_candidates_;
    std::set<std::string, std::less<>> observed_candidates_;
    std::size_t reference_count_ = 0;
    bool was_reference_seen_ = false;

    exposure_budget exposure_;
    rollout_evidence own_;
    std::uint64_t own_open_elsewhere_ = 0;
    std::map<std::string, peer, std::less<>> peers_;
    /// Evidence of gateways' earlier starts.
    rollout_evidence retired_;
    rollout_judge judge_;

    bool is_urgent_ = false;
    std::vector<log_effect> log_records_;
};

} // namespace hemlocknotch::gateway
