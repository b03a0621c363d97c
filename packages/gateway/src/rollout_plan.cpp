#include <hemlocknotch/core/rendezvous.hpp>
#include <hemlocknotch/gateway/rollout_plan.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

/// Least number of endpoints of the new version that are observed, so that a broken one can be told from a
/// bad version.
constexpr std::size_t min_observed = 2;
/// Time after the order from which on a service without endpoints of another version has been moved already.
constexpr duration min_time_to_complete = std::chrono::seconds{1};
/// Maximum number of versions of earlier orders that stay blocked.
constexpr std::size_t max_blocked = 8;
/// Maximum number of gateways whose reports are kept; bounds memory.
constexpr std::size_t max_peers = 4096;

} // namespace

rollout_plan::rollout_plan(std::string service, double exposure_share)
    : service_{std::move(service)}, share_{used_exposure * exposure_share}, exposure_{share_}
{
}

void rollout_plan::set_registered(const rollout_order* order, rollout_position order_at,
                                  const rollout_record* record, rollout_position record_at,
                                  rollout_position as_of, instant now)
{
    // The registry as it is known may be older than the gateway's own last write.
    const auto is_behind = record_ && as_of.era == record_at_.era &&
                           record_at.revision < record_at_.revision && as_of.revision < record_at_.revision;
    if (!is_behind) {
        record_ = record == nullptr ? std::nullopt : std::optional{*record};
        record_at_ = record == nullptr ? rollout_position{as_of.era, 0} : record_at;
    }
    if (!order_ && record_) {
        order_ = record_->order;
        position_ = record_->position;
        started_at_ = now - record_->elapsed;
        phase_since_ = now;
        adopt(*record_, now);
        update_versions();
    }
    set_order(order, order_at, now);
    if (order_ && record_ && is_about_order(record_->order, record_->position, now)) {
        adopt(*record_, now);
    }
}

void rollout_plan::set_order(const rollout_order* order, rollout_position at, instant now)
{
    if (order == nullptr) {
        if (order_ && !is_final(phase_)) {
            enter(rollout_phase::rolled_back, "order-removed", now);
        }
        is_order_registered_ = false;
        return;
    }
    const auto is_same = order_ && *order == *order_;
    const auto is_restored = is_same && at.era != position_.era;
    if (is_restored) {
        hold_until_ = now + restore_hold;
    }
    const auto is_repeated =
        is_same && at != position_ && !is_restored && now >= hold_until_ && is_final(phase_);
    is_order_registered_ = true;
    if (!is_same || is_repeated) {
        begin(*order, at, now);
    }
    position_ = at;
}

void rollout_plan::begin(const rollout_order& order, rollout_position at, instant now)
{
    if (order_ && phase_ != rollout_phase::completed && order_->version != order.version) {
        blocked_.push_back(order_->version);
        if (blocked_.size() > max_blocked) {
            blocked_.erase(blocked_.begin());
        }
    }
    std::erase(blocked_, order.version);
    order_ = order;
    position_ = at;
    started_at_ = now;
    proposal_.reset();
    exposure_ = exposure_budget{share_};
    own_ = {};
    peers_.clear();
    retired_ = {};
    judge_ = {};
    was_reference_seen_ = false;
    write_due_since_ = instant::max();
    update_versions();
    enter(rollout_phase::observing, "ordered", now);
}

bool rollout_plan::is_about_order(const rollout_order& order, rollout_position at, instant now) const
{
    return order_ && order == *order_ && (at == position_ || at.era != position_.era || now < hold_until_);
}

void rollout_plan::adopt(const rollout_record& record, instant now)
{
    started_at_ = std::min(started_at_, now - record.elapsed);
    blocked_ = record.blocked_versions;
    update_versions();
    const auto is_ahead = is_final(record.phase) ? phase_ != record.phase : phase_ < record.phase;
    if (is_ahead) {
        enter(record.phase, proposal_ == record.phase ? std::string_view{proposal_reason_} : "recorded", now);
    }
}

void rollout_plan::enter(rollout_phase phase, std::string_view reason, instant now)
{
    phase_ = phase;
    phase_since_ = now;
    reason_ = reason;
    proposal_.reset();
    is_urgent_ = true;
    const auto candidate = total_evidence().candidate_total();
    log_records_.push_back({phase == rollout_phase::rolled_back ? log_level::warning : log_level::info,
                            "rollout-phase",
                            {{"service", service_},
                             {"version", order_->version},
                             {"phase", std::string{to_text(phase)}},
                             {"reason", reason_},
                             {"elapsed_ms", milliseconds_text(elapsed(now))},
                             {"order_revision", std::to_string(position_.revision)},
                             {"answers", std::to_string(candidate.answers)},
                             {"bad_answers", std::to_string(candidate.bad)},
                             {"excess_bad", std::to_string(judge_.excess_bad())},
                             {"log_likelihood_ratio", std::to_string(judge_.evidence())},
                             {"own_exposed", std::to_string(exposure_.exposed())},
                             {"own_requests", std::to_string(exposure_.requests())}}});
}

void rollout_plan::propose(rollout_phase phase, std::string_view reason)
{
    proposal_ = phase;
    proposal_reason_ = reason;
}

void rollout_plan::set_endpoints(std::span<const endpoint_record* const> records)
{
    endpoints_.clear();
    for (const auto* it : records) {
        endpoints_.push_back(*it);
    }
    update_versions();
}

void rollout_plan::update_versions()
{
    ranked_candidates_.clear();
    observed_candidates_.clear();
    reference_count_ = 0;
    blocked_and_new_ = blocked_;
    if (!order_) {
        return;
    }
    blocked_and_new_.push_back(order_->version);
    for (const auto& it : endpoints_) {
        if (it.is_draining) {
            continue;
        }
        if (it.software_version == order_->version) {
            ranked_candidates_.push_back(it.instance);
        }
        else if (std::ranges::find(blocked_, it.software_version) == blocked_.end()) {
            ++reference_count_;
        }
    }
    was_reference_seen_ = was_reference_seen_ || reference_count_ > 0;
    const auto key = service_ + '/' + order_->version;
    std::ranges::sort(ranked_candidates_, std::greater{},
                      [&](const std::string& it) { return rendezvous_weight(key, it); });
    const auto observed = std::max(
        min_observed,
        static_cast<std::size_t>(std::ceil(share_ * static_cast<double>(ranked_candidates_.size()))));
    for (std::size_t n = 0; n < std::min(observed, ranked_candidates_.size()); ++n) {
        observed_candidates_.insert(ranked_candidates_[n]);
    }
}

duration rollout_plan::part_of_limit(double part) const
{
    return std::chrono::duration_cast<duration>(order_->time_limit * part);
}

duration rollout_plan::ramp_time() const
{
    return std::min(part_of_limit(ramp_part), max_ramp_time);
}

double rollout_plan::moving_share(instant now) const
{
    const std::chrono::duration<double> passed = now - phase_since_;
    const auto part = std::chrono::duration<double>(ramp_time()).count();
    return part <= 0.0 ? 1.0 : std::min(1.0, share_ + (1.0 - share_) * passed.count() / part);
}

version_choice rollout_plan::choose(double draw, bool is_first_attempt, instant now) const
{
    if (!order_) {
        return {};
    }
    version_choice to_new{
        .only = &order_->version, .instances = nullptr, .may_fall_back = true, .avoided = blocked_and_new_};
    const version_choice to_others{.avoided = blocked_and_new_};
    switch (phase_) {
    case rollout_phase::observing: {
        const auto is_exposed = is_first_attempt && !ranked_candidates_.empty() && exposure_.may_expose();
        to_new.instances = &observed_candidates_;
        return is_exposed ? to_new : to_others;
    }
    case rollout_phase::moving: {
        const auto share = moving_share(now);
        to_new.may_fall_back = share < 1.0;
        return draw < share ? to_new : to_others;
    }
    case rollout_phase::completed: {
        to_new.may_fall_back = false;
        return now - phase_since_ < completion_hold ? to_new : version_choice{.avoided = blocked_};
    }
    case rollout_phase::rolled_back:
        break;
    }
    return to_others;
}

std::size_t rollout_plan::serving_count(std::size_t all, instant now) const
{
    if (!order_) {
        return all;
    }
    switch (phase_) {
    case rollout_phase::completed:
        return now - phase_since_ < completion_hold ? candidate_count() : all;
    case rollout_phase::moving:
        return std::max(candidate_count(), reference_count());
    case rollout_phase::observing:
    case rollout_phase::rolled_back:
        break;
    }
    return reference_count();
}

bool rollout_plan::is_blocked(std::string_view version) const
{
    const auto is_new = order_ && order_->version == version;
    return (is_new && phase_ == rollout_phase::rolled_back) ||
           std::ranges::find(blocked_, version) != blocked_.end();
}

void rollout_plan::note_sent(std::string_view version)
{
    exposure_.note_sent(order_ && order_->version == version);
}

void rollout_plan::note_answer(const endpoint_record& endpoint, std::string_view route, bool is_bad,
                               bool is_correction)
{
    if (!is_comparing()) {
        return;
    }
    const answer_counts counted{is_correction ? 0 : 1, is_bad ? 1 : 0};
    rollout_evidence added;
    if (endpoint.software_version == order_->version) {
        added.candidate.emplace(candidate_key{endpoint.instance, endpoint.failure_domain, std::string{route}},
                                counted);
    }
    else {
        added.reference.emplace(reference_key{endpoint.failure_domain, std::string{route}}, counted);
    }
    own_.add(added);
}

rollout_evidence rollout_plan::total_evidence() const
{
    auto out = own_;
    out.add(retired_);
    for (const auto& [name, it] : peers_) {
        out.add(it.report.evidence);
    }
    return out;
}

std::uint64_t rollout_plan::open_elsewhere(instant now) const
{
    auto out = own_open_elsewhere_;
    for (const auto& [name, it] : peers_) {
        out += now - it.heard_at < max_report_age ? it.report.open_elsewhere : 0U;
    }
    return out;
}

void rollout_plan::apply_report(std::string_view gateway, const service_rollout_report& report, instant now)
{
    if (!is_about_order(report.order, report.position, now)) {
        return;
    }
    started_at_ = std::min(started_at_, now - report.elapsed);
    if (peers_.size() >= max_peers && !peers_.contains(gateway)) {
        return;
    }
    auto& known = peers_[std::string{gateway}];
    if (report.requests < known.report.requests) {
        // The gateway has started again.
        retired_.add(known.report.evidence);
    }
    known = {report, now};
    if (is_final(phase_) || report.phase <= phase_) {
        return;
    }
    enter(report.phase, "reported", now);
}

std::optional<service_rollout_report> rollout_plan::create_report(instant now) const
{
    const auto has_long_ended = is_final(phase_) && now - phase_since_ >= completion_hold;
    if (!order_ || has_long_ended) {
        return std::nullopt;
    }
    return service_rollout_report{.order = *order_,
                                  .position = position_,
                                  .phase = phase_,
                                  .elapsed = elapsed(now),
                                  .requests = exposure_.requests(),
                                  .exposed = exposure_.exposed(),
                                  .open_elsewhere = own_open_elsewhere_,
                                  .evidence = is_final(phase_) ? rollout_evidence{} : own_};
}

bool rollout_plan::has_capacity() const
{
    return static_cast<double>(ranked_candidates_.size()) >=
           std::max(1.0, min_capacity * static_cast<double>(reference_count_));
}

void rollout_plan::update(bool is_judge, instant now)
{
    if (!order_ || is_final(phase_)) {
        return;
    }
    judge_.update(total_evidence(), now);
    if (judge_.verdict() == rollout_verdict::bad) {
        return enter(rollout_phase::rolled_back, "bad-answers", now);
    }
    if (!is_judge) {
        proposal_.reset();
        return;
    }
    phase_ == rollout_phase::observing ? update_observing(now) : update_moving(now);
}

void rollout_plan::update_observing(instant now)
{
    const auto passed = elapsed(now);
    if (!was_reference_seen_ && !ranked_candidates_.empty()) {
        reason_ = "no-other-version";
        if (passed >= min_time_to_complete) {
            propose(rollout_phase::completed, reason_);
        }
        return;
    }
    const auto is_sound = judge_.verdict() == rollout_verdict::sound;
    if (passed >= part_of_limit(give_up_part) && !proposal_) {
        return enter(rollout_phase::rolled_back,
                     ranked_candidates_.empty() ? "not-started" : "too-few-answers", now);
    }
    if (passed < std::min(part_of_limit(observing_part), max_observing_time)) {
        reason_ = "observing";
    }
    else if (!has_capacity()) {
        reason_ = "too-few-endpoints";
    }
    else if (!is_sound) {
        reason_ = "too-few-answers";
    }
    else {
        reason_ = "moving-is-due";
        propose(rollout_phase::moving, "sound");
    }
}

void rollout_plan::update_moving(instant now)
{
    if (now - phase_since_ < ramp_time()) {
        reason_ = "share-grows";
        return;
    }
    if (!has_capacity()) {
        reason_ = "too-few-endpoints";
        if (elapsed(now) >= order_->time_limit) {
            enter(rollout_phase::rolled_back, reason_, now);
        }
        return;
    }
    const auto is_drained = open_elsewhere(now) == 0;
    if (!is_drained && elapsed(now) < part_of_limit(finish_part)) {
        reason_ = "requests-open-at-other-versions";
        return;
    }
    reason_ = "completion-is-due";
    propose(rollout_phase::completed, is_drained ? "moved" : "time-limit-near");
}

rollout_record rollout_plan::current_record(instant now) const
{
    return {.order = *order_,
            .position = position_,
            .phase = proposal_.value_or(phase_),
            .elapsed = elapsed(now),
            .blocked_versions = blocked_};
}

bool rollout_plan::is_write_due(instant now) const
{
    if (!order_ || (!is_order_registered_ && !record_)) {
        return false;
    }
    if (!record_ || record_->order != *order_ || record_->position != position_) {
        return true;
    }
    const auto phase = proposal_.value_or(phase_);
    return phase != record_->phase ||
           (!is_final(phase) && elapsed(now) - record_->elapsed >= checkpoint_interval);
}

std::optional<rollout_write> rollout_plan::take_write(std::size_t rank, instant now)
{
    if (!is_write_due(now)) {
        write_due_since_ = instant::max();
        return std::nullopt;
    }
    write_due_since_ = std::min(write_due_since_, now);
    const auto is_doubtful = record_ && is_final(record_->phase) && record_->order == *order_ &&
                             !is_final(proposal_.value_or(phase_));
    const auto wait = takeover_time * static_cast<int>(rank) + (is_doubtful ? doubt_time : duration::zero());
    if (now - write_due_since_ < wait || now < next_write_) {
        return std::nullopt;
    }
    next_write_ = now + takeover_time;
    return rollout_write{current_record(now), record_at_};
}

void rollout_plan::note_written(const rollout_record& record, rollout_position at, instant now)
{
    if (!order_ || record.order != *order_ || record.position != position_) {
        return;
    }
    record_ = record;
    record_at_ = at;
    adopt(record, now);
}

bool rollout_plan::take_urgency()
{
    return std::exchange(is_urgent_, false);
}

std::vector<log_effect> rollout_plan::take_log_records()
{
    return std::exchange(log_records_, {});
}

} // namespace hemlocknotch::gateway
