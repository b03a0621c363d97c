#include <hemlocknotch/core/adaptive_concurrency_limit.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hemlocknotch {
namespace {

/// Units of each running request in one window, and units of a window at the least.
constexpr std::uint32_t units_per_request = 8;
constexpr std::uint32_t min_window_units = 16;

/// The endpoint is slowed down where the time between units is this many times the known one.
constexpr double slowed_factor = 1.2;

/// Above this factor the limit falls by half even where the last try alone may be the cause.
constexpr double collapsed_factor = 2.0;

/// Share of the proportional gain in rate that one more request must bring to stay.
constexpr double worthwhile_share = 0.3;

/// Step towards a number of requests that was borne before.
constexpr double known_step = 1.3;

/// Share of the newest window in the known time between units, where it is longer and where it is shorter.
constexpr double longer_share = 0.3;
constexpr double shorter_share = 0.8;

/// Slowed windows in a row, with no more running than at the start, after which all is learnt anew: what the
/// requests need has changed, and fewer of them do not help.
constexpr std::uint32_t windows_to_relearn = 8;

std::uint32_t step_above(std::uint32_t running)
{
    return std::max(running + 1, static_cast<std::uint32_t>(std::floor(running * known_step)));
}

/// Returns whether `more` running requests bring enough units a second over `fewer`.
bool is_gain(std::uint32_t fewer, double fewer_interval, std::uint32_t more, double more_interval)
{
    const double gain = static_cast<double>(more - fewer) / fewer;
    return more / more_interval >= fewer / fewer_interval * (1.0 + worthwhile_share * gain);
}

} // namespace

adaptive_concurrency_limit::adaptive_concurrency_limit(const adaptive_limit_options& options)
    : options_{options},
      limit_{options.initial_limit},
      known_(options.max_limit + 1, 0.0),
      next_hold_{options.hold_time}
{
    assert(options_.initial_limit >= 1);
    assert(options_.initial_limit <= options_.max_limit);
    assert(options_.hold_time > duration::zero());
    assert(options_.proven_time > duration::zero());
}

void adaptive_concurrency_limit::on_unit(instant now, duration interval, bool is_first, std::uint32_t running)
{
    has_units_ = true;
    running = std::clamp(running, 1U, options_.max_limit);
    note_peak(now, running);
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
        note_peak(now, running);
    }
}

void adaptive_concurrency_limit::on_failed(instant now)
{
    fall(now, limit_);
}

void adaptive_concurrency_limit::on_cold(instant now)
{
    std::fill(known_.begin(), known_.end(), 0.0);
    limit_ = options_.initial_limit;
    borne_ = 0;
    peak_ = 0;
    peak_at_ = now;
    hold_until_.reset();
    next_hold_ = options_.hold_time;
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
    if (!is_known(running) && !is_worth(running, interval)) {
        limit_ = std::min(limit_, std::max(running - 1, 1U));
        hold(now);
        return;
    }
    if (!is_known(running)) {
        hold_until_.reset();
        next_hold_ = options_.hold_time;
    }
    double& known = known_[running];
    const double share = interval < known ? shorter_share : longer_share;
    known = is_known(running) ? known + share * (interval - known) : interval;
    borne_ = running;
    forget_not_worth(running);
    grow(now, running);
}

void adaptive_concurrency_limit::note_peak(instant now, std::uint32_t running)
{
    if (running >= peak_) {
        peak_ = running;
        peak_at_ = now;
    }
    if (now - peak_at_ >= options_.proven_time) {
        peak_ = running;
        peak_at_ = now;
        limit_ = std::min(limit_, std::max(options_.initial_limit, step_above(running)));
    }
}

void adaptive_concurrency_limit::hold(instant now)
{
    if (hold_until_ && now < *hold_until_) {
        return;
    }
    hold_until_ = now + next_hold_;
    next_hold_ = std::min(2 * next_hold_, options_.max_hold_time);
}

void adaptive_concurrency_limit::on_slowed(instant now, std::uint32_t running, double factor)
{
    if (running > borne_ && borne_ > 0 && factor < collapsed_factor) {
        limit_ = std::min(limit_, borne_);
        hold(now);
        return;
    }
    if (running > options_.initial_limit) {
        slowed_windows_ = 0;
    }
    else if (++slowed_windows_ >= windows_to_relearn) {
        on_cold(now);
        return;
    }
    fall(now, running);
}

void adaptive_concurrency_limit::fall(instant now, std::uint32_t running)
{
    const std::uint32_t least = std::min(options_.initial_limit, limit_);
    limit_ = std::max(least, std::min(limit_, running) / 2);
    borne_ = std::min(borne_, limit_);
    hold_until_ = now + options_.hold_time;
    next_hold_ = options_.hold_time;
}

void adaptive_concurrency_limit::grow(instant now, std::uint32_t running)
{
    const bool is_draining_for_check =
        is_checking_ && running > limit_ && now - checked_at_ < options_.check_time;
    if (is_draining_for_check || running < limit_ || (hold_until_ && now < *hold_until_)) {
        return;
    }
    is_checking_ = false;
    if (running > 1 && now - checked_at_ >= options_.check_time) {
        checked_at_ = now;
        is_checking_ = true;
        limit_ = running - 1;
        return;
    }
    std::uint32_t highest = options_.max_limit;
    while (highest > running + 1 && !is_known(highest)) {
        --highest;
    }
    const std::uint32_t next = std::min(step_above(running), std::max(highest, running + 1));
    limit_ = std::min(next, options_.max_limit);
}

double adaptive_concurrency_limit::slowed_by(std::uint32_t running, double interval) const
{
    // With fewer requests the endpoint is not slower, so every larger number that was borne bounds this one.
    double factor = 0.0;
    for (std::size_t n = running; n < known_.size(); ++n) {
        if (known_[n] > 0.0) {
            factor = std::max(factor, interval / known_[n]);
        }
    }
    return factor;
}

bool adaptive_concurrency_limit::is_worth(std::uint32_t running, double interval) const
{
    for (std::uint32_t n = running - 1; n > 0; --n) {
        if (is_known(n)) {
            return is_gain(n, known_[n], running, interval);
        }
    }
    return true;
}

void adaptive_concurrency_limit::forget_not_worth(std::uint32_t running)
{
    for (std::uint32_t n = running + 1; n < known_.size(); ++n) {
        if (is_known(n) && !is_gain(running, known_[running], n, known_[n])) {
            known_[n] = 0.0;
        }
    }
}

} // namespace hemlocknotch
