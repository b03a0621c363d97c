#include "registry_follower.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

using gateway::registry_answer;
using gateway::registry_status;

/// Longest wait of one watch: practically none, since changes are read at intervals.
constexpr duration watch_wait = std::chrono::milliseconds{1};
/// Range of the random delay of each gateway's next read: tens of times what a read and the report of its
/// result take, so that mostly one gateway reads for all.
constexpr duration max_read_jitter = std::chrono::milliseconds{300};
/// Delay after the first failed call, and the longest delay, up to which it doubles: short compared with the
/// few seconds within which changes must take effect, long compared with the store's usual response time.
constexpr duration min_retry_delay = std::chrono::milliseconds{250};
constexpr duration max_retry_delay = std::chrono::seconds{1};
/// Time in which a change usually arrives from the gateway that read it, although another one has it already.
constexpr duration update_time = std::chrono::milliseconds{100};
/// Time to live of the registration, and the time between renewals, which allows for two failed ones.
constexpr duration lease_time_to_live = std::chrono::seconds{5};
constexpr duration lease_renewal_interval = std::chrono::milliseconds{1500};
/// Time for each gateway of the fleet over which the reads, and the registrations, after a restore are
/// spread: 500 reads and 200 writes a second, whatever the number of gateways.
constexpr duration read_spread = std::chrono::milliseconds{2};
constexpr duration join_spread = std::chrono::milliseconds{10};

} // namespace

registry_follower::registry_follower(event_base* base, gateway::registry_client& client,
                                     gateway::registry_view& view, const registry_follower_options& options,
                                     std::function<instant()> now, changed_callback changed, log_callback log,
                                     update_callback publish, std::function<void()> fetch_from_peers)
    : registry_client_{client},
      view_{view},
      options_{options},
      now_{std::move(now)},
      changed_{std::move(changed)},
      log_{std::move(log)},
      publish_{std::move(publish)},
      fetch_from_peers_{std::move(fetch_from_peers)},
      contact_{options.max_age + max_read_jitter + gateway::registry_contact::longest_read, now_()},
      read_timer_{base, [this] { needs_full_read_ ? read() : watch(); }},
      lease_timer_{base, [this] { lease_id_ == 0 ? join() : renew(); }},
      grace_timer_{base, [this] { notify_changed(view_.on_timer(now_())); }},
      doubt_timer_{base, [this] { check_doubts(); }},
      configuration_timer_{base, [this] { fetch_configuration(); }}
{
}

void registry_follower::start()
{
    read();
    join();
}

void registry_follower::leave()
{
    read_timer_.stop();
    lease_timer_.stop();
    configuration_timer_.stop();
    if (lease_id_ != 0) {
        registry_client_.leave(std::exchange(lease_id_, 0));
    }
}

bool registry_follower::accept_era(const registry_answer& answer, bool is_full_read)
{
    if (answer.era == 0 || answer.era == view_.era()) {
        return true;
    }
    if (answer.era < view_.era()) {
        log_({log_level::info, "registry-answer-of-earlier-era", {{"era", std::to_string(answer.era)}}});
        read_timer_.start(min_retry_delay);
        return false;
    }
    latest_era_ = std::max(latest_era_, answer.era);
    if (is_full_read && answer.status == registry_status::ok) {
        begin_era(answer.era, answer.revision);
        return true;
    }
    needs_full_read_ = true;
    if (answer.status == registry_status::ok) {
        read_timer_.start(duration::zero());
        return false;
    }
    return true;
}

bool registry_follower::accept_era(const gateway::registry_update& update)
{
    if (update.era == 0 || update.era == view_.era()) {
        return true;
    }
    if (update.era < view_.era()) {
        return false;
    }
    needs_full_read_ = true;
    if (update.era > latest_era_) {
        latest_era_ = update.era;
        read_timer_.start(draw_spread(read_spread));
    }
    if (!is_reachable()) {
        fetch_from_peers_();
    }
    return false;
}

void registry_follower::begin_era(std::uint64_t era, std::uint64_t revision)
{
    const auto is_restore = view_.revision() != 0;
    if (is_restore) {
        ++counters_.restores;
        log_({log_level::warning,
              "registry-restored",
              {{"era_before", std::to_string(view_.era())},
               {"revision_before", std::to_string(view_.revision())},
               {"era", std::to_string(era)},
               {"revision", std::to_string(revision)}}});
    }
    view_.begin_era(era, now_());
    if (is_restore) {
        contact_.begin(now_());
    }
    latest_era_ = std::max(latest_era_, era);
    if (is_restore && std::exchange(lease_id_, 0) != 0) {
        // The number may belong to another lease by now, so the old one is neither renewed nor ended.
        lease_timer_.start(draw_spread(join_spread));
    }
}

duration registry_follower::draw_spread(duration for_each_gateway)
{
    const auto longest = for_each_gateway * static_cast<std::int64_t>(view_.members().size());
    return duration{std::uniform_int_distribution<std::int64_t>{0, longest.count()}(random_)};
}

void registry_follower::apply_update(const gateway::registry_update& update)
{
    if (!accept_era(update)) {
        return;
    }
    const auto now = now_();
    const auto is_rebuttal_due = weigh_statement(update);
    if (needs_full_read_ || update.from_revision > view_.revision()) {
        // Changes in between are missing; this gateway's own next read returns them.
        return note_gap(update);
    }
    if (update.to_revision < view_.revision() ||
        (update.is_partial && update.to_revision == view_.revision())) {
        return; // Everything up to there is known.
    }
    const auto changes = decode(update);
    log_unreadable(changes, false);
    notify_changed(view_.apply(changes, update.is_partial ? 0 : update.to_revision, now));
    if (update.is_partial) {
        has_partial_update_ = true;
        if (is_reachable()) {
            // All other gateways have to read what the update left out, too.
            read_timer_.start(draw_spread(read_spread));
        }
        else {
            fetch_from_peers_();
        }
        return;
    }
    if (update.digest != 0 && view_.revision() == update.to_revision && view_.digest() != update.digest) {
        log_({log_level::warning, "registry-views-differ", {{"gateway", update.gateway}}});
        needs_full_read_ = true;
        read_timer_.start(duration::zero());
        return;
    }
    ++counters_.applied_updates;
    if (update.configuration_version > view_.configuration_version()) {
        // The registry, from which this gateway has read, was restored and has an earlier version than the
        // one in force.
        fetch_from_peers_();
    }
    current_as_of_ = std::max(current_as_of_, now - update.age);
    note_current("update");
    if (!is_reachable() || has_partial_update_) {
        return;
    }
    if (is_rebuttal_due) {
        read_timer_.start(draw_spread(read_spread));
    }
    else {
        schedule_read();
    }
}

bool registry_follower::weigh_statement(const gateway::registry_update& update)
{
    const auto now = now_();
    const auto as_of = now - update.age;
    const auto since = update.answering_for ? now - *update.answering_for : as_of;
    const auto has_grace = update.grace > duration::zero();
    if (contact_.note_statement(since, as_of, has_grace || !is_reachable())) {
        view_.on_registry_recovered(since);
    }
    view_.limit_grace(contact_.answering_since());
    notify_changed(view_.on_timer(now));
    return has_grace && contact_.can_rebut(since);
}

void registry_follower::apply_snapshot(const gateway::registry_update& update)
{
    const auto is_of_present_era = update.era == 0 || update.era == view_.era();
    if (update.is_partial || (!is_of_present_era && update.era < std::max(view_.era(), latest_era_))) {
        return;
    }
    if (is_of_present_era && view_.era() < latest_era_) {
        return;
    }
    const auto is_newer = !is_of_present_era || update.to_revision > view_.revision() ||
                          update.configuration_version > view_.configuration_version();
    if (!needs_full_read_ && !is_newer) {
        return;
    }
    if (!is_of_present_era) {
        begin_era(update.era, update.to_revision);
    }
    const auto now = now_();
    log_({log_level::info,
          "registry-learnt-from-gateway",
          {{"gateway", update.gateway}, {"revision", std::to_string(update.to_revision)}}});
    needs_full_read_ = false;
    has_partial_update_ = false;
    current_as_of_ = std::max(current_as_of_, now - update.age);
    weigh_statement(update);
    note_current("gateway");
    const auto changes = decode(update);
    log_unreadable(changes, true);
    notify_changed(view_.replace(changes, update.to_revision, now));
    schedule_doubt_check();
}

std::vector<gateway::registry_change> registry_follower::decode(const gateway::registry_update& update) const
{
    std::vector<gateway::registry_change> out;
    out.reserve(update.changes.size());
    for (const auto& it : update.changes) {
        auto item = it.is_removed ? gateway::registry_item{} : registry_client_.decode(it.key, it.value);
        out.push_back({it.key, it.revision, it.is_removed, std::move(item), it.value});
    }
    return out;
}

void registry_follower::log_unreadable(std::span<const gateway::registry_change> changes, bool is_complete)
{
    if (const auto record = unreadable_.note(changes, is_complete)) {
        log_(*record);
    }
}

void registry_follower::read()
{
    const auto requested_at = now_();
    registry_client_.read([this, requested_at](registry_answer answer) {
        handle_answer(std::move(answer), true, requested_at);
    });
}

void registry_follower::watch()
{
    const auto requested_at = now_();
    registry_client_.watch(view_.revision(), watch_wait, [this, requested_at](registry_answer answer) {
        handle_answer(std::move(answer), false, requested_at);
    });
}

void registry_follower::handle_answer(registry_answer answer, bool is_full_read, instant requested_at)
{
    const auto restores_before = counters_.restores;
    if (!accept_era(answer, is_full_read)) {
        return;
    }
    if (answer.status == registry_status::history_lost) {
        log_({log_level::info, "registry-history-lost", {{"revision", std::to_string(view_.revision())}}});
        needs_full_read_ = true;
        return read_timer_.start(duration::zero());
    }
    if (answer.status != registry_status::ok) {
        return on_failure(answer.status, requested_at);
    }
    on_success(requested_at);
    log_unreadable(answer.changes, is_full_read);
    needs_full_read_ = false;
    // What a partial update left out is read by all gateways.
    const auto is_read_by_all = std::exchange(has_partial_update_, false);
    current_as_of_ = std::max(current_as_of_, requested_at);
    note_current("read");
    // The others learn of a restore by an update without changes.
    const auto is_restored = counters_.restores > restores_before;
    const auto from = is_restored ? answer.revision : view_.revision();
    auto unpublished =
        is_full_read ? std::vector<gateway::reported_change>{} : view_.significant_changes(answer.changes);
    const auto difference = is_full_read ? view_.replace(answer.changes, answer.revision, now_())
                                         : view_.apply(answer.changes, answer.revision, now_());
    if (is_restored || (!is_full_read && !is_read_by_all)) {
        publish(std::move(unpublished), from, requested_at);
    }
    notify_changed(difference);
    schedule_doubt_check();
    schedule_read();
}

void registry_follower::publish(std::vector<gateway::reported_change> changes, std::uint64_t from_revision,
                                instant requested_at)
{
    gateway::registry_update update;
    update.gateway = options_.instance;
    update.era = view_.era();
    update.configuration_version = view_.configuration_version();
    update.from_revision = from_revision;
    update.to_revision = view_.revision();
    update.digest = view_.digest();
    update.age = now_() - requested_at;
    update.grace = view_.remaining_grace(now_());
    update.answering_for = now_() - contact_.answering_since();
    update.changes = std::move(changes);
    publish_(std::move(update));
}

void registry_follower::note_gap(const gateway::registry_update& update)
{
    ++counters_.updates_after_gap;
    if (!is_reachable()) {
        fetch_from_peers_();
    }
    if (behind_since_ != instant::max()) {
        return;
    }
    behind_since_ = now_();
    log_({log_level::warning,
          "registry-behind",
          {{"gateway", update.gateway},
           {"revision", std::to_string(view_.revision())},
           {"update_from", std::to_string(update.from_revision)}}});
}

void registry_follower::note_current(std::string_view source)
{
    const auto since = std::exchange(behind_since_, instant::max());
    if (since == instant::max()) {
        return;
    }
    log_({log_level::info,
          "registry-caught-up",
          {{"after_ms", milliseconds_text(now_() - since)}, {"source", std::string{source}}}});
}

void registry_follower::on_failure(registry_status status, instant requested_at)
{
    ++counters_.failed_reads;
    if (failed_since_ == instant::max()) {
        failed_since_ = now_();
        log_({log_level::warning,
              "registry-lost",
              {{"status", std::string{registry_status_text(status)}},
               {"waited_ms", milliseconds_text(now_() - requested_at)},
               {"revision", std::to_string(view_.revision())}}});
    }
    fetch_from_peers_();
    retry_delay_ = std::min<duration>(std::max<duration>(retry_delay_ * 2, min_retry_delay), max_retry_delay);
    read_timer_.start(retry_delay_);
}

void registry_follower::on_success(instant requested_at)
{
    retry_delay_ = duration::zero();
    const auto since = std::exchange(failed_since_, instant::max());
    if (contact_.note_read(since, requested_at, now_())) {
        view_.on_registry_recovered(now_());
    }
    if (since == instant::max()) {
        return;
    }
    log_({log_level::info, "registry-back", {{"after_ms", milliseconds_text(now_() - since)}}});
}

void registry_follower::note_configuration(std::uint64_t version, std::string_view gateway)
{
    if (version <= view_.configuration_version()) {
        return;
    }
    newer_configuration_ = version;
    newer_configuration_at_ = gateway;
    if (!std::exchange(is_configuration_fetch_due_, true)) {
        configuration_timer_.start(update_time + draw_spread(read_spread));
    }
}

void registry_follower::fetch_configuration()
{
    is_configuration_fetch_due_ = false;
    if (newer_configuration_ <= view_.configuration_version()) {
        return;
    }
    log_({log_level::warning,
          "configuration-behind",
          {{"version", std::to_string(view_.configuration_version())},
           {"gateway", newer_configuration_at_},
           {"its_version", std::to_string(newer_configuration_)}}});
    fetch_from_peers_();
    if (is_reachable()) {
        read_timer_.start(duration::zero());
    }
}

void registry_follower::schedule_doubt_check()
{
    if (view_.has_doubtful_endpoints()) {
        doubt_timer_.start(gateway::registry_view::reregistration_grace);
    }
}

void registry_follower::check_doubts()
{
    // Other gateways report no rewrite of an unchanged value, which is what resolves a doubt.
    if (!view_.has_doubtful_endpoints() || !is_reachable()) {
        return schedule_doubt_check();
    }
    needs_full_read_ = true;
    read_timer_.start(draw_spread(read_spread));
}

void registry_follower::schedule_read()
{
    // The gateway with the shortest delay reads for all: the others receive its update before their own delay
    // is over and start a new one.
    const auto jitter =
        duration{std::uniform_int_distribution<std::int64_t>{0, max_read_jitter.count()}(random_)};
    read_timer_.start(current_as_of_ + options_.max_age + jitter - now_());
}

void registry_follower::join()
{
    if (std::exchange(is_joining_, true)) {
        return;
    }
    registry_client_.join(options_.instance, options_.members, lease_time_to_live,
                          [this](const registry_answer& answer) { handle_joined(answer); });
}

void registry_follower::handle_joined(const registry_answer& answer)
{
    is_joining_ = false;
    const auto is_of_present_era = answer.era == 0 || answer.era >= view_.era();
    const auto is_joined = answer.status == registry_status::ok && is_of_present_era;
    lease_id_ = is_joined ? answer.lease : 0;
    joined_at_ = now_();
    const auto is_lost = answer.status == registry_status::lease_lost || !is_of_present_era;
    lease_timer_.start(is_joined ? lease_renewal_interval
                       : is_lost ? draw_spread(join_spread)
                                 : min_retry_delay * 2);
}

void registry_follower::renew()
{
    registry_client_.renew(lease_id_, [this, lease = lease_id_](const registry_answer& answer) {
        handle_renewed(lease, answer);
    });
}

void registry_follower::handle_renewed(std::uint64_t lease, const registry_answer& answer)
{
    if (lease != lease_id_) {
        return; // The registry was restored meanwhile, and a new registration is due.
    }
    const auto is_lost =
        answer.status == registry_status::lease_lost || answer.era > view_.era() || is_registration_missing();
    lease_id_ = is_lost ? 0 : lease_id_;
    lease_timer_.start(is_lost                                ? draw_spread(join_spread)
                       : answer.status == registry_status::ok ? lease_renewal_interval
                                                              : min_retry_delay * 2);
}

bool registry_follower::is_registration_missing() const
{
    const auto members = view_.members();
    return current_as_of_ > joined_at_ &&
           std::ranges::find(members, options_.instance, &gateway::member_item::name) == members.end();
}

void registry_follower::notify_changed(const gateway::registry_difference& difference)
{
    if (const auto at = view_.next_due(); at != instant::max()) {
        grace_timer_.start(at - now_());
    }
    if (!difference.is_empty()) {
        changed_(difference);
    }
}

} // namespace hemlocknotch::daemon
