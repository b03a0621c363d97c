#pragma once

#include <hemlocknotch/coordination/configuration_envelope.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/time.hpp>

#include "entropy_source.hpp"
#include "timer.hpp"

#include <cstdint>
#include <functional>

namespace hemlocknotch::daemon {

/// Timing of the calls to the key-value service.
struct configuration_watcher_options {
    /// Time after which the service answers a watch without a change.
    duration watch_timeout = std::chrono::seconds{1};
    /// Delay before the next call after a failed one. It doubles with each failure in a row, up to the
    /// maximum.
    duration retry_delay = std::chrono::milliseconds{100};
    duration max_retry_delay = std::chrono::seconds{2};
};

/// Receiver of a watcher's results. Called on the event loop's thread.
class configuration_watcher_sink {
public:
    virtual ~configuration_watcher_sink() = default;

    /// A call to the key-value service has ended; `is_reached` is whether with an answer.
    virtual void on_store_contact(bool is_reached) = 0;

    /// The key-value service has a new envelope.
    virtual void on_envelope(const configuration_envelope& envelope) = 0;

    /// The key-value service has a new value that is not a valid envelope.
    virtual void on_unreadable_envelope() = 0;
};

/// Watches the configuration in the key-value service while it is enabled. Used by the event loop's thread
/// only.
class configuration_watcher {
public:
    /// All references must outlive the watcher.
    configuration_watcher(event_base* base, key_value_service& store,
                          const configuration_watcher_options& options, entropy_source& entropy,
                          configuration_watcher_sink& sink);

    /// Starts or stops watching. The answer to a call in progress is still reported after a stop.
    void set_enabled(bool is_enabled);

private:
    void request();
    void on_answer(const store_answer& answer);
    void schedule_retry();

    key_value_service& store_;
    configuration_watcher_options options_;
    entropy_source& entropy_;
    configuration_watcher_sink& sink_;
    bool is_enabled_ = false;
    bool is_request_pending_ = false;
    std::uint64_t known_version_ = 0;
    duration delay_;
    timer retry_;
};

} // namespace hemlocknotch::daemon
