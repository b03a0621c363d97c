#include <hemlocknotch/core/adaptive_concurrency_limit.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hemlocknotch {
namespace {

/// A window holds this many units per running request, and at least `min_window_units`.
constexpr std::uint32_t units_per_request = 8;
constexpr std::uint32_t min_window_units = 16;

/// The endpoint counts as slowed down if the time between units exceeds the recorded one by this factor.
constexpr double slowed_factor = 1.2;

/// From this factor on the limit is halved, even if the last increase of the limit alone may have caused the
/// slowdown.
constexpr double collapsed_factor = 2.0;

/// Share of the proportional gain in rate that a higher number of requests must reach to stay.
constexpr double worthwhile_share = 0.3;

/// Factor by which the limit rises towards a number of requests that was sustained before.
constexpr double sustained_step = 1.3;

/// Weights of the newest window in the recorded time between units, if its time is longer and if it is
/// shorter.
constexpr double longer_share = 0.3;
constexpr double shorter_share = 0.8;

/// Number of consecutive slowed windows, with no more requests running than `initial_limit`, after which all
/// recorded times are discarded: the cost of the requests has changed, and running fewer of them does not
/// help.
constexpr std::uint32_t windows_to_relearn = 8;

/// Returns the limit to try next above `running`: `sustained_step` times as many, and at least one more.
std::uint32_t step_above(std::uint32_t running)
{
    return std::max(running + 1, static_cast<std::uint32_t>(std::floor(running * sustained_step)));
}

/// Returns whether `more` running requests yield enough additional units per second compared with `fewer`.
bool is_gain(std::uint32_t fewer, double fewer_interval, std::uint32_t more, double more_interval)
{
    const double gain = static_cast<double>(more - fewer) / fewer;
    return more / more_interval >= fewer / fewer_interval * (1.0 + worthwhile_share * gain);
}

} // namespace

adaptive_concurrency_limit::adaptive_concurrency_limit(const adaptive_limit_options& options)
    : options_{options},
      limit_{options.initial_limit},
      unit_intervals_(options.max_limit + 1, 0.0),
      next_backoff_{options.probe_backoff}
{
    assert(options_.initial_limit >= 1);
    assert(options_.initial_limit <= options_.max_limit);
    assert(options_.probe_backoff > duration::zero());
    assert(options_.validation_time > duration::zero());
}

void adaptive_concurrency_limit::on_unit(instant now, duration interval, bool is_first, std::uint32_t running)
{
    has_units_ = true;
    running = std::clamp(running, 1U, options_.max_limit);
    update_peak(now, running);
    if (running != window_.running) {
        restart_window(running);
    }
    if (is_first) {
        return;
    }
    if (window_.to_skip > 0) {
        --window_.to_skip;
        return;
    }
    window_.sum += static_cast<double>(interval.count());
    ++window_.count;
    if (window_.count >= std::max(min_window_units, units_per_request * running)) {
        close_window(now);
    }
}

void adaptive_concurrency_limit::on_completed(instant now, duration /*run_time*/, std::uint32_t running)
{
    if (!has_units_ && running >= limit_) {
        limit_ = std::min(limit_ + 1, options_.max_limit);
        update_peak(now, running);
    }
}

void adaptive_concurrency_limit::on_failed(instant now)
{
    decrease(now, limit_);
}

void adaptive_concurrency_limit::on_cold(instant now)
{
    std::fill(unit_intervals_.begin(), unit_intervals_.end(), 0.0);
    limit_ = options_.initial_limit;
    sustained_ = 0;
    peak_ = 0;
    peak_at_ = now;
    probe_not_before_.reset();
    next_backoff_ = options_.probe_backoff;
    slowed_windows_ = 0;
    restart_window(0);
}

void adaptive_concurrency_limit::restart_window(std::uint32_t running)
{
    window_ = window{running, running, 0, 0.0};
}

void adaptive_concurrency_limit::close_window(instant now)
{
    const std::uint32_t running = window_.running;
    const double interval = window_.sum / window_.count;
    window_ = window{running, 0, 0, 0.0};
    if (const double factor = slowed_by(running, interval); factor > slowed_factor) {
        on_slowed(now, running, factor);
        return;
    }
    slowed_windows_ = 0;
    if (!has_interval(running) && !is_worthwhile(running, interval)) {
        limit_ = std::min(limit_, std::max(running - 1, 1U));
        back_off(now);
        return;
    }
    if (!has_interval(running)) {
        probe_not_before_.reset();
        next_backoff_ = options_.probe_backoff;
    }
    double& recorded = unit_intervals_[running];
    const double share = interval < recorded ? shorter_share : longer_share;
    recorded = has_interval(running) ? recorded + share * (interval - recorded) : interval;
    sustained_ = running;
    discard_not_worthwhile(running);
    increase(now, running);
}

void adaptive_concurrency_limit::update_peak(instant now, std::uint32_t running)
{
    if (running >= peak_) {
        peak_ = running;
        peak_at_ = now;
    }
    if (now - peak_at_ >= options_.validation_time) {
        peak_ = running;
        peak_at_ = now;
        limit_ = std::min(limit_, std::max(options_.initial_limit, step_above(running)));
    }
}

void adaptive_concurrency_limit::back_off(instant now)
{
    if (probe_not_before_ && now < *probe_not_before_) {
        return;
    }
    probe_not_before_ = now + next_backoff_;
    next_backoff_ = std::min(2 * next_backoff_, options_.max_probe_backoff);
}

void adaptive_concurrency_limit::on_slowed(instant now, std::uint32_t running, double factor)
{
    if (running > sustained_ && sustained_ > 0 && factor < collapsed_factor) {
        limit_ = std::min(limit_, sustained_);
        back_off(now);
        return;
    }
    if (running > options_.initial_limit) {
        slowed_windows_ = 0;
    }
    else if (++slowed_windows_ >= windows_to_relearn) {
        on_cold(now);
        return;
    }
    decrease(now, running);
}

void adaptive_concurrency_limit::decrease(instant now, std::uint32_t running)
{
    const std::uint32_t lowest = std::min(options_.initial_limit, limit_);
    limit_ = std::max(lowest, std::min(limit_, running) / 2);
    sustained_ = std::min(sustained_, limit_);
    probe_not_before_ = now + options_.probe_backoff;
    next_backoff_ = options_.probe_backoff;
}

void adaptive_concurrency_limit::increase(instant now, std::uint32_t running)
{
    const bool is_draining_for_probe = is_probing_decrease_ && running > limit_ &&
                                       now - decrease_probed_at_ < options_.decrease_probe_interval;
    if (is_draining_for_probe || running < limit_ || (probe_not_before_ && now < *probe_not_before_)) {
        return;
    }
    is_probing_decrease_ = false;
    if (running > 1 && now - decrease_probed_at_ >= options_.decrease_probe_interval) {
        decrease_probed_at_ = now;
        is_probing_decrease_ = true;
        limit_ = running - 1;
        return;
    }
    std::uint32_t highest = options_.max_limit;
    while (highest > running + 1 && !has_interval(highest)) {
        --highest;
    }
    const std::uint32_t next = std::min(step_above(running), std::max(highest, running + 1));
    limit_ = std::min(next, options_.max_limit);
}

double adaptive_concurrency_limit::slowed_by(std::uint32_t running, double interval) const
{
    // The endpoint is not slower with fewer requests, so the time recorded for any larger number of requests
    // is an upper bound for this number.
    double factor = 0.0;
    for (std::size_t n = running; n < unit_intervals_.size(); ++n) {
        if (unit_intervals_[n] > 0.0) {
            factor = std::max(factor, interval / unit_intervals_[n]);
        }
    }
    return factor;
}

bool adaptive_concurrency_limit::is_worthwhile(std::uint32_t running, double interval) const
{
    for (std::uint32_t n = running - 1; n > 0; --n) {
        if (has_interval(n)) {
            return is_gain(n, unit_intervals_[n], running, interval);
        }
    }
    return true;
}

void adaptive_concurrency_limit::discard_not_worthwhile(std::uint32_t running)
{
    for (std::uint32_t n = running + 1; n < unit_intervals_.size(); ++n) {
        if (has_interval(n) && !is_gain(running, unit_intervals_[running], n, unit_intervals_[n])) {
            unit_intervals_[n] = 0.0;
        }
    }
}

} // namespace hemlocknotch
