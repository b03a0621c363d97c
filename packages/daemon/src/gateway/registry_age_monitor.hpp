#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <functional>

namespace hemlocknotch::daemon {

/// What a `registry_age_monitor` logs about a gateway.
struct registry_state {
    /// Time as of which the registry is known.
    instant as_of;
    std::uint64_t revision = 0;
    bool is_store_reachable = false;
    /// Time by which the event loop's timers fire late.
    duration loop_delay{};
};

/// Logs when a gateway's view of the registry becomes stale, and when it is current again. Used by one thread
/// at a time.
class registry_age_monitor {
public:
    using log_callback = std::function<void(const log_effect&)>;

    /// The view is stale when it is older than `limit`.
    registry_age_monitor(duration limit, log_callback log);

    /// Takes the state at `now`. A gateway that knows nothing of the registry yet, with revision 0, is not
    /// stale.
    void check(const registry_state& state, instant now);

private:
    duration limit_;
    log_callback log_;
    /// Longest delay of the event loop since the view was last current.
    duration max_loop_delay_{};
    /// `instant::max()`: the view is current.
    instant stale_since_ = instant::max();
};

} // namespace hemlocknotch::daemon
