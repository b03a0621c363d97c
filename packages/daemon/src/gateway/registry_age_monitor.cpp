#include "registry_age_monitor.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {

registry_age_monitor::registry_age_monitor(duration limit, log_callback log)
    : limit_{limit}, log_{std::move(log)}
{
    assert(log_);
}

void registry_age_monitor::check(const registry_state& state, instant now)
{
    max_loop_delay_ = std::max(max_loop_delay_, state.loop_delay);
    const auto age = now - state.as_of;
    if (age <= limit_) {
        if (const auto since = std::exchange(stale_since_, instant::max()); since != instant::max()) {
            log_({log_level::info, "registry-current", {{"after_ms", milliseconds_text(now - since)}}});
        }
        max_loop_delay_ = duration::zero();
        return;
    }
    if (stale_since_ == instant::max() && state.revision != 0) {
        stale_since_ = now;
        log_({log_level::warning,
              "registry-stale",
              {{"age_ms", milliseconds_text(age)},
               {"revision", std::to_string(state.revision)},
               {"store", state.is_store_reachable ? "reachable" : "lost"},
               {"loop_delay_ms", milliseconds_text(max_loop_delay_)}}});
    }
}

} // namespace hemlocknotch::daemon
