#pragma once

#include "libevent_handles.hpp"

#include <cstdint>

namespace hemlocknotch::daemon {

/// Priority of an event in a loop of `create_prioritized_loop`.
enum class event_priority : std::uint8_t {
    /// The registry, other gateways, health checks and signals; the default of every event.
    control,
    /// Connections of callers and endpoints.
    request,
};

/// Maximum number of request events that are handled before the loop looks for new control events. A call to
/// the store waits for that many several times, and an event may take 1 ms of a core of which an instance has
/// a tenth.
inline constexpr int max_request_events = 8;

/// Creates an event loop that handles request events only while no control event is ready, so that a process
/// that lacks processor time still learns in time what its decisions depend on. Throws std::bad_alloc where
/// libevent cannot create one. Thread-safe.
event_base_ptr create_prioritized_loop();

/// Sets the priority of `it`. No effect in a loop without priorities. Precondition: `it` is not active.
void set_priority(event& it, event_priority priority);

} // namespace hemlocknotch::daemon
