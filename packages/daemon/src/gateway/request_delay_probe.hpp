#pragma once

#include <hemlocknotch/core/time.hpp>

#include "../timer.hpp"

#include <functional>

namespace hemlocknotch::daemon {

/// Measures how long a request that has arrived waits until it is read, by an event that is handled behind
/// all request events which were ready before it. Used on the event loop's thread only.
class request_delay_probe {
public:
    /// Delay beyond which requests are read late: a quarter of the second after which callers abandon a
    /// request that has not been read.
    static constexpr duration late_after = std::chrono::milliseconds{250};

    /// Time between two measurements: a fraction of the time that callers wait. It must not grow with the
    /// fleet.
    static constexpr duration interval = std::chrono::milliseconds{100};

    /// `base` must outlive the probe; `now` returns the monotonic time. `measured` is called with each delay,
    /// and `checked` each time that a measurement is due, also while one is in progress.
    request_delay_probe(event_base* base, std::function<instant()> now,
                        std::function<void(duration)> measured, std::function<void()> checked);

    /// Measures at `interval` from now on.
    void start();

    /// Returns the last delay, or the time that the measurement in progress has taken, if that is longer.
    [[nodiscard]] duration delay() const;

    [[nodiscard]] bool is_late() const { return delay() > late_after; }

private:
    void begin();
    void finish();

    std::function<instant()> now_;
    std::function<void(duration)> measured_;
    std::function<void()> checked_;
    timer event_;
    timer due_;
    /// `instant::max()`: no measurement is in progress.
    instant started_at_ = instant::max();
    duration last_delay_{};
};

} // namespace hemlocknotch::daemon
