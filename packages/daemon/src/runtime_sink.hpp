#pragma once

#include <hemlocknotch/core/entry_event.hpp>

namespace hemlocknotch::daemon {

/// Receiver of what daemons of both kinds learn. Called on the event loop's thread.
class runtime_sink {
public:
    virtual ~runtime_sink() = default;

    /// The instance list has answered.
    virtual void on_members(members_event members) = 0;

    /// A configuration has passed its check.
    virtual void on_configuration(configuration_event accepted) = 0;

    /// A call to the key-value service has ended.
    virtual void on_store_contact(store_contact_event contact) = 0;

    /// The time asked for has come.
    virtual void on_tick() = 0;

    /// The process has been asked to stop.
    virtual void on_stop(stop_event stop) = 0;

    /// Returns whether bytes wait that peers have not yet taken, and that are to be sent before the exit.
    virtual bool has_unsent_bytes() = 0;
};

} // namespace hemlocknotch::daemon
