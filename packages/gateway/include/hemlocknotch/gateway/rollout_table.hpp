#pragma once

#include <hemlocknotch/gateway/answer_speed.hpp>
#include <hemlocknotch/gateway/endpoint_record.hpp>
#include <hemlocknotch/gateway/gateway_roster.hpp>
#include <hemlocknotch/gateway/rollout_plan.hpp>
#include <hemlocknotch/gateway/rollout_report.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// An order as the registry holds it.
struct registered_rollout_order {
    rollout_order order;
    std::uint64_t revision = 0;
};

/// A record as the registry holds it.
struct registered_rollout_record {
    rollout_record record;
    std::uint64_t revision = 0;
};

/// What the registry holds of roll-outs.
struct registered_rollouts {
    /// Position as of which it is known.
    rollout_position as_of;
    std::vector<registered_rollout_order> orders;
    std::vector<registered_rollout_record> records;
};

/// How an answer was counted for a roll-out.
enum class counted_answer : std::uint8_t { none, good, bad };

/// The roll-outs of all services. Does nothing where none was ordered. Used by one thread at a time.
class rollout_table {
public:
    /// Number of gateways that hear what all have seen of a service's roll-out, and decide on it. Several, so
    /// that the decision does not wait for one that has ended; few, since each hears every gateway.
    static constexpr std::size_t max_judges = 4;
    /// Time between two judgements.
    static constexpr duration update_interval = std::chrono::milliseconds{250};

    /// `gateway` is the name under which this gateway reports. `exposure_share` is the share of a service's
    /// requests that a new version may get.
    rollout_table(std::string gateway, double exposure_share);

    void set_registered(const registered_rollouts& registered, instant now);
    void set_endpoints(std::span<const endpoint_record> records);

    /// Replaces the names of the other gateways whose reports are current.
    void set_others(const std::set<std::string, std::less<>>& names) { roster_.set_others(names); }

    /// Returns the roll-out of `service`; null if none was ordered.
    [[nodiscard]] rollout_plan* find(std::string_view service);
    [[nodiscard]] const rollout_plan* find(std::string_view service) const;

    [[nodiscard]] const std::map<std::string, rollout_plan, std::less<>>& all() const { return plans_; }

    /// Counts an answer of `endpoint` that took `time` for each unit of its work; see `answer_speed`. A cold
    /// endpoint is not slow.
    counted_answer note_answered(const endpoint_record& endpoint, std::string_view route, double time,
                                 bool is_cold);
    /// Counts an answer that failed, also where it was counted as good when it began.
    void note_failed(const endpoint_record& endpoint, std::string_view route, counted_answer before);
    /// Returns whether an answer that has not come after `time` is slow. Precondition: as for
    /// `note_answered`.
    [[nodiscard]] bool is_slow(const endpoint_record& endpoint, std::string_view route, double time) const;

    void apply_report(const rollout_report& report, instant now);
    /// Returns the report of this gateway, without services where there is nothing to tell.
    [[nodiscard]] rollout_report create_report(instant now) const;

    /// Returns the names of the other gateways that are to hear this one's report.
    [[nodiscard]] std::vector<std::string> judges(instant now) const;

    /// Judges and decides where that is due.
    void update(instant now);
    /// Returns when `update` is due; `instant::max()` if there is no roll-out.
    [[nodiscard]] instant next_due() const;

    /// Returns the records that this gateway is to write now.
    std::vector<rollout_write> take_writes(instant now);
    void note_written(const rollout_record& record, rollout_position at, instant now);

    bool take_urgency();
    std::vector<log_effect> take_log_records();

private:
    rollout_plan& plan_of(const std::string& service);

    std::string gateway_;
    double exposure_share_;
    gateway_roster roster_;
    std::map<std::string, rollout_plan, std::less<>> plans_;
    std::vector<endpoint_record> endpoints_;
    /// How fast endpoints of the present versions answer, by service.
    std::map<std::string, answer_speed, std::less<>> speeds_;
    instant next_update_{};
};

} // namespace hemlocknotch::gateway
