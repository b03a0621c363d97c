#include "request_delay_probe.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {

request_delay_probe::request_delay_probe(event_base* base, std::function<instant()> now,
                                         std::function<void(duration)> measured,
                                         std::function<void()> checked)
    : now_{std::move(now)},
      measured_{std::move(measured)},
      checked_{std::move(checked)},
      event_{base, [this] { finish(); }, event_priority::request},
      due_{base, [this] { begin(); }}
{
    assert(now_ && measured_ && checked_);
}

void request_delay_probe::start()
{
    due_.start(interval);
}

void request_delay_probe::begin()
{
    due_.start(interval);
    checked_();
    if (started_at_ == instant::max()) {
        started_at_ = now_();
        event_.activate();
    }
}

void request_delay_probe::finish()
{
    last_delay_ = now_() - std::exchange(started_at_, instant::max());
    measured_(last_delay_);
}

duration request_delay_probe::delay() const
{
    const auto pending = started_at_ == instant::max() ? duration::zero() : now_() - started_at_;
    return std::max(last_delay_, pending);
}

} // namespace hemlocknotch::daemon
