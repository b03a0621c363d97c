#pragma once

#include <hemlocknotch/core/entry_event.hpp>

namespace hemlocknotch::daemon {

/// Receiver of the events that agent and entry processes have in common. Called on the event loop's thread.
class runtime_sink {
public:
    virtual ~runtime_sink() = default;

    /// The instance list has answered.
    virtual void on_members(members_event members) = 0;

    /// A valid configuration has been read; it may be one that was reported before.
    virtual void on_configuration(configuration_event accepted) = 0;

    /// A call to the key-value service has ended, with an answer or without.
    virtual void on_store_contact(store_contact_event contact) = 0;

    /// The time of the last `schedule_tick_effect` has come.
    virtual void on_tick() = 0;

    /// The process has been asked to stop.
    virtual void on_stop(stop_event stop) = 0;

    /// Returns whether there are bytes to send to peers before the process exits.
    virtual bool has_unsent_bytes() = 0;
};

} // namespace hemlocknotch::daemon
