#pragma once

#include <hemlocknotch/core/time.hpp>

#include "event_priority.hpp"
#include "libevent_handles.hpp"

#include <functional>

namespace hemlocknotch::daemon {

/// Calls a function later on the event loop's thread. Used by that thread only.
class timer {
public:
    /// Creates a stopped timer on `base`, which must outlive it. Precondition: `callback` is not empty.
    timer(event_base* base, std::function<void()> callback,
          event_priority priority = event_priority::control);

    timer(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(const timer&) = delete;
    timer& operator=(timer&&) = delete;
    ~timer() = default;

    /// Calls the function once after `delay`. Replaces an earlier start. A negative delay counts as zero.
    void start(duration delay);

    /// Calls the function once before the loop waits again. Repeated calls before that count as one.
    void activate();

    /// Cancels a pending call.
    void stop();

private:
    std::function<void()> callback_;
    event_ptr event_;
};

} // namespace hemlocknotch::daemon
