#include "service_admission.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hemlocknotch::gateway {
namespace {

/// Time between two computations of the fair levels: a fraction of the time in which requested rates change.
constexpr duration level_interval = std::chrono::milliseconds{50};
/// Time constant of the rate at which requests are sent.
constexpr duration rate_time_constant = std::chrono::seconds{1};
/// Divisor of the time limit of a request of a plain service that gives its longest wait; its execution takes
/// a small part of that time.
constexpr int plain_wait_divisor = 2;
/// Time between two offers of a model service's queue. Each offer makes a placement decision per waiting
/// request, and without the interval every event of any request would cause an offer. Prompts wait hundreds
/// of times longer than the interval. Queues of plain services are short, and their requests end within some
/// ten milliseconds, so they are offered at once.
constexpr duration offer_interval = std::chrono::milliseconds{10};
/// Range of the upper half of a hash.
constexpr double draw_range = 1ULL << 32U;

} // namespace

service_admission::service_admission(const router_options& options, std::size_t gateways)
    : options_{options}, queue_{meter_}, retries_{options.retries, gateways}, sent_{rate_time_constant}
{
}

void service_admission::note_requested(const exchange& it, instant now)
{
    retries_.on_request();
    is_model_ = it.is_model;
    meter_.note_requested(it.account, it.cost, now);
}

void service_admission::note_sent(const exchange& it, instant now)
{
    meter_.note_served(it.account, it.cost, now);
    sent_.add(it.cost, now);
    sent_tokens_ += it.cost;
}

void service_admission::note_not_begun(const exchange& it, instant now)
{
    meter_.take_back_served(it.account, it.cost, it.sent_at, now);
}

double service_admission::endpoint_rate(const routing_configuration& configuration, std::size_t endpoints)
{
    max_endpoints_seen_ = std::max(max_endpoints_seen_, endpoints);
    const auto configured_rate = configuration.document().tokens_per_second;
    return configured_rate > 0.0 && max_endpoints_seen_ > 0
               ? configured_rate / static_cast<double>(max_endpoints_seen_)
               : options_.default_endpoint_rate;
}

double service_admission::share_capacity(const exchange& it) const
{
    return it.is_model ? it.configuration->document().tokens_per_second * options_.share_capacity : 0.0;
}

void service_admission::update_levels(double capacity, instant now)
{
    if (now - level_at_ < level_interval) {
        return;
    }
    fair_level_ = meter_.fair_level(capacity, now);
    const auto present = std::max(capacity, meter_.total_served(now) * options_.present_headroom);
    present_level_ = meter_.fair_level(present, now);
    admitted_level_ = fair_level_ * options_.admitted_shares;
    level_at_ = now;
}

share_state service_admission::share_state_of(exchange& it, instant now)
{
    const auto capacity = share_capacity(it);
    if (capacity <= 0.0) {
        return share_state::within_share;
    }
    update_levels(capacity, now);
    it.share = {meter_.rates_of(it.account, now), fair_level_};
    const auto served = it.share->rates.served;
    if (served <= present_level_) {
        return share_state::within_share;
    }
    return served <= admitted_level_ ? share_state::over_stated_share : share_state::over_current_share;
}

bool service_admission::admits(exchange& it, instant now)
{
    if (share_capacity(it) <= 0.0) {
        return true;
    }
    it.placement_input.account_share = share_state_of(it, now);
    const auto id = it.id_text();
    const auto draw = static_cast<double>(XXH64(id.data(), id.size(), ~options_.seed) >> 32U) / draw_range;
    return draw * it.share->rates.requested < admitted_level_;
}

duration service_admission::estimated_wait(const exchange& it, instant now) const
{
    // Before, the rate at which requests are sent shows what other accounts ask for, not what endpoints can
    // take.
    const auto backlog = queue_.backlog_of(it.account);
    if (!backlog || now - backlog->at < options_.backlog_time) {
        return duration::zero();
    }
    const auto ahead = queue_.tokens_ahead(it.account, it.cost, now);
    const std::chrono::duration<double> backlogged = now - backlog->at;
    const auto rate =
        std::max(sent_.per_second(now), (sent_tokens_ - backlog->sent_tokens) / backlogged.count());
    if (ahead <= 0.0 || rate <= 0.0) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{ahead / rate});
}

instant service_admission::send_by(exchange& it, instant now)
{
    const auto is_within_share = share_state_of(it, now) == share_state::within_share;
    const auto share = is_within_share ? options_.wait_share : options_.excess_wait_share;
    const auto longest = it.is_model ? std::chrono::duration_cast<duration>(it.objective() * share)
                                     : (it.ends_at - it.arrived) / plain_wait_divisor;
    return std::min(it.arrived + longest, it.ends_at);
}

bool service_admission::begin_offer(instant now)
{
    const auto due = last_offer_ + offer_interval;
    if (is_model_ && now < due) {
        postponed_until_ = due;
        return false;
    }
    last_offer_ = now;
    postponed_until_ = instant::max();
    return true;
}

void service_admission::request_offer(instant now)
{
    postponed_until_ = is_model_ ? std::max(now, last_offer_ + offer_interval) : now;
}

void service_admission::add_waiting(const exchange& it, unsigned priority, instant send_by, instant now)
{
    queue_.add(it.account, {it.id, it.cost, priority, send_by}, {now, sent_tokens_});
}

} // namespace hemlocknotch::gateway
