#include "registry_follower.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

using gateway::registry_answer;
using gateway::registry_status;

/// Longest wait of one watch: as good as none, since what has changed is asked for at intervals.
constexpr duration watch_wait = std::chrono::milliseconds{1};
/// Time over which the gateways' next reads are spread; tens of times what a read and its telling take.
constexpr duration read_spread = std::chrono::milliseconds{300};
/// Pause after a first failed call, and the longest one, to which it doubles: short against the bounds of a
/// few seconds, long against the store's usual answer.
constexpr duration retry_pause = std::chrono::milliseconds{250};
constexpr duration max_retry_pause = std::chrono::seconds{1};
/// Failures for so long are an outage, after which registrations may have lapsed.
constexpr duration outage_after = std::chrono::milliseconds{500};
/// Life of the registration without renewal, and the time between renewals, which leaves room for two
/// failures.
constexpr duration lease_time = std::chrono::seconds{5};
constexpr duration lease_interval = std::chrono::milliseconds{1500};

std::string to_text(registry_status status)
{
    switch (status) {
    case registry_status::ok:
        return "ok";
    case registry_status::refused:
        return "refused";
    case registry_status::history_lost:
        return "history-lost";
    case registry_status::lease_lost:
        return "lease-lost";
    case registry_status::unknown:
        break;
    }
    return "no-answer";
}

} // namespace

registry_follower::registry_follower(event_base* base, gateway::registry_client& feed,
                                     gateway::registry_view& view, const registry_follower_options& options,
                                     std::function<instant()> now, changed_callback changed, log_callback log,
                                     news_callback tell, std::function<void()> ask_others)
    : feed_{feed},
      view_{view},
      options_{options},
      now_{std::move(now)},
      changed_{std::move(changed)},
      log_{std::move(log)},
      tell_{std::move(tell)},
      ask_others_{std::move(ask_others)},
      next_{base, [this] { needs_whole_ ? read() : watch(); }},
      lease_{base, [this] { lease_number_ == 0 ? join() : renew(); }},
      grace_{base, [this] { report(view_.on_timer(now_())); }}
{
}

void registry_follower::start()
{
    read();
    join();
}

void registry_follower::leave()
{
    next_.stop();
    lease_.stop();
    if (lease_number_ != 0) {
        feed_.leave(std::exchange(lease_number_, 0));
    }
}

void registry_follower::take_news(const gateway::registry_update& news)
{
    const auto now = now_();
    if (needs_whole_ || news.from_revision > view_.revision()) {
        // Something in between is not known here; the next read of one's own brings it.
        return;
    }
    if (news.to_revision < view_.revision()) {
        return;
    }
    if (failed_since_ != instant::max() && now - failed_since_ >= outage_after) {
        view_.on_registry_recovered(now);
    }
    const auto changes = decode(news);
    report(view_.apply(changes, news.is_partial ? 0 : news.to_revision, now));
    if (news.is_partial) {
        current_as_of_ = instant{};
        next_.start(duration::zero());
        return;
    }
    if (view_.revision() == news.to_revision && view_.digest() != news.digest) {
        log_({log_level::warning, "registry-views-differ", {{"gateway", news.gateway}}});
        needs_whole_ = true;
        next_.start(duration::zero());
        return;
    }
    current_as_of_ = std::max(current_as_of_, now - news.age);
    if (failed_since_ == instant::max()) {
        schedule();
    }
}

void registry_follower::take_whole(const gateway::registry_update& news)
{
    if (!needs_whole_ || news.is_partial) {
        return;
    }
    log_({log_level::info,
          "registry-learnt-from-gateway",
          {{"gateway", news.gateway}, {"revision", std::to_string(news.to_revision)}}});
    needs_whole_ = false;
    report(view_.replace(decode(news), news.to_revision, now_()));
}

std::vector<gateway::registry_change> registry_follower::decode(const gateway::registry_update& news) const
{
    std::vector<gateway::registry_change> out;
    out.reserve(news.changes.size());
    for (const auto& it : news.changes) {
        auto item = it.is_removed ? gateway::registry_item{} : feed_.decode(it.key, it.value);
        out.push_back({it.key, it.revision, it.is_removed, std::move(item), it.value});
    }
    return out;
}

void registry_follower::read()
{
    const auto asked_at = now_();
    feed_.read([this, asked_at](registry_answer answer) { take(std::move(answer), true, asked_at); });
}

void registry_follower::watch()
{
    const auto asked_at = now_();
    feed_.watch(view_.revision(), watch_wait,
                [this, asked_at](registry_answer answer) { take(std::move(answer), false, asked_at); });
}

void registry_follower::take(registry_answer answer, bool is_whole, instant asked_at)
{
    if (answer.status == registry_status::history_lost) {
        log_({log_level::info, "registry-history-lost", {{"revision", std::to_string(view_.revision())}}});
        needs_whole_ = true;
        return next_.start(duration::zero());
    }
    if (answer.status != registry_status::ok) {
        return note_failure(answer.status);
    }
    note_answer();
    needs_whole_ = false;
    current_as_of_ = std::max(current_as_of_, asked_at);
    const auto from = view_.revision();
    auto news =
        is_whole ? std::vector<gateway::reported_change>{} : view_.significant_changes(answer.changes);
    const auto difference = is_whole ? view_.replace(answer.changes, answer.revision, now_())
                                     : view_.apply(answer.changes, answer.revision, now_());
    if (!is_whole) {
        tell(std::move(news), from, asked_at);
    }
    report(difference);
    schedule();
}

void registry_follower::tell(std::vector<gateway::reported_change> changes, std::uint64_t from_revision,
                             instant asked_at)
{
    gateway::registry_update news;
    news.gateway = options_.instance;
    news.from_revision = from_revision;
    news.to_revision = view_.revision();
    news.digest = view_.digest();
    news.age = now_() - asked_at;
    news.changes = std::move(changes);
    tell_(std::move(news));
}

void registry_follower::note_failure(registry_status status)
{
    if (failed_since_ == instant::max()) {
        failed_since_ = now_();
        log_({log_level::warning,
              "registry-lost",
              {{"status", to_text(status)}, {"revision", std::to_string(view_.revision())}}});
    }
    if (needs_whole_) {
        ask_others_();
    }
    pause_ = std::min<duration>(std::max<duration>(pause_ * 2, retry_pause), max_retry_pause);
    next_.start(pause_);
}

void registry_follower::note_answer()
{
    pause_ = duration::zero();
    const auto since = std::exchange(failed_since_, instant::max());
    if (since == instant::max()) {
        return;
    }
    const auto lasted = now_() - since;
    if (lasted >= outage_after) {
        view_.on_registry_recovered(now_());
    }
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lasted).count();
    log_({log_level::info, "registry-back", {{"after_ms", std::to_string(ms)}}});
}

void registry_follower::schedule()
{
    // Whoever comes first reads for all; the others hear of it before their own time.
    const auto spread =
        duration{std::uniform_int_distribution<std::int64_t>{0, read_spread.count()}(random_)};
    next_.start(current_as_of_ + options_.max_age + spread - now_());
}

void registry_follower::join()
{
    feed_.join(options_.instance, options_.members, lease_time, [this](const registry_answer& answer) {
        lease_number_ = answer.status == registry_status::ok ? answer.lease : 0;
        lease_.start(lease_number_ == 0 ? retry_pause * 2 : lease_interval);
    });
}

void registry_follower::renew()
{
    feed_.renew(lease_number_, [this](const registry_answer& answer) {
        const auto is_lost = answer.status == registry_status::lease_lost;
        lease_number_ = is_lost ? 0 : lease_number_;
        lease_.start(is_lost                                ? duration::zero()
                     : answer.status == registry_status::ok ? lease_interval
                                                            : retry_pause * 2);
    });
}

void registry_follower::report(const gateway::registry_difference& difference)
{
    if (const auto at = view_.next_due(); at != instant::max()) {
        grace_.start(at - now_());
    }
    if (difference.has_configuration || difference.has_endpoints || difference.has_out_of_service ||
        difference.has_members) {
        changed_(difference);
    }
}

} // namespace hemlocknotch::daemon
