#pragma once

#include <hemlocknotch/core/agent_event.hpp>

namespace hemlocknotch::daemon {

/// Receiver of the endpoint's answers. Called on the event loop's thread, never from within a call to
/// `endpoint_client`.
class endpoint_sink {
public:
    virtual ~endpoint_sink() = default;

    /// A call's answer has begun.
    virtual void on_head(endpoint_head_event head) = 0;

    /// Bytes of a call's answer have arrived.
    virtual void on_part(endpoint_part_event part) = 0;

    /// A call has ended. No further event of this call follows.
    virtual void on_end(const endpoint_end_event& end) = 0;

    /// A fetch of the health page has ended, with an answer or without.
    virtual void on_health(const endpoint_health_event& health) = 0;

    /// The endpoint has reported changes of its cache.
    virtual void on_cache(endpoint_cache_event cache) = 0;
};

} // namespace hemlocknotch::daemon
