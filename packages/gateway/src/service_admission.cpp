#include "service_admission.hpp"

#include <algorithm>

namespace hemlocknotch::gateway {
namespace {

/// Time between two computations of the fair level; a fraction of the time in which demand changes.
constexpr duration level_interval = std::chrono::milliseconds{50};
/// Time over which the rate of sending is averaged.
constexpr duration rate_time_constant = std::chrono::seconds{1};
/// Part of its time that a request of a plain service may wait; its work takes a small part of it.
constexpr int plain_wait_part = 2;
/// Time between two offers of a model service's line. Each costs a choice for each waiting request, and
/// without it there would be one for each event of any request; prompts wait for hundreds of times as long.
/// Lines of plain services are short, and their requests end within some ten milliseconds.
constexpr duration offer_interval = std::chrono::milliseconds{10};

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
}

double service_admission::endpoint_rate(const routing_configuration& configuration, std::size_t endpoints)
{
    most_endpoints_ = std::max(most_endpoints_, endpoints);
    const auto stated = configuration.document().tokens_per_second;
    return stated > 0.0 && most_endpoints_ > 0 ? stated / static_cast<double>(most_endpoints_)
                                               : options_.default_endpoint_rate;
}

share_state service_admission::share_state_of(const exchange& it, instant now)
{
    const auto capacity = it.configuration->document().tokens_per_second * options_.share_capacity;
    if (!it.is_model || capacity <= 0.0) {
        return share_state::within_share;
    }
    if (now - level_at_ >= level_interval) {
        fair_level_ = meter_.fair_level(capacity, now);
        const auto present = std::max(capacity, meter_.total_served(now) * options_.present_headroom);
        present_level_ = meter_.fair_level(present, now);
        level_at_ = now;
    }
    const auto served = meter_.rates_of(it.account, now).served;
    if (served <= fair_level_) {
        return share_state::within_share;
    }
    return served <= present_level_ ? share_state::over_stated_share : share_state::over_current_share;
}

duration service_admission::estimated_wait(const exchange& it, instant now) const
{
    if (queue_.is_empty() || now - backlogged_since_ < options_.backlog_time) {
        return duration::zero();
    }
    const auto ahead = queue_.tokens_ahead(it.account, it.cost, now);
    const auto rate = sent_.per_second(now);
    if (ahead <= 0.0 || rate <= 0.0) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{ahead / rate});
}

instant service_admission::send_by(const exchange& it, instant now)
{
    const auto is_within = share_state_of(it, now) == share_state::within_share;
    const auto share = is_within ? options_.wait_share : options_.excess_wait_share;
    const auto longest = it.is_model ? std::chrono::duration_cast<duration>(it.objective() * share)
                                     : (it.ends_at - it.arrived) / plain_wait_part;
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

void service_admission::add_waiting(const exchange& it, unsigned priority, instant send_by, instant now)
{
    if (queue_.is_empty()) {
        backlogged_since_ = now;
    }
    queue_.add(it.account, {it.id, it.cost, priority, send_by});
}

} // namespace hemlocknotch::gateway
