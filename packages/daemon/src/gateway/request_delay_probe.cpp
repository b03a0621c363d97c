#include "request_delay_probe.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {

request_delay_probe::request_delay_probe(event_base* base, std::function<instant()> now,
                                         std::function<void(duration)> measured)
    : now_{std::move(now)},
      measured_{std::move(measured)},
      event_{base, [this] { finish(); }, event_priority::request}
{
    assert(now_ && measured_);
}

void request_delay_probe::start()
{
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
