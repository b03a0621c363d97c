#pragma once

#include <hemlocknotch/coordination/configuration_envelope.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/time.hpp>

#include "entropy_source.hpp"
#include "timer.hpp"

#include <cstdint>
#include <functional>

namespace hemlocknotch::daemon {

/// How the configuration is watched.
struct configuration_watcher_options {
    /// Time that one watch waits at the service.
    duration watch_limit = std::chrono::seconds{1};
    /// Time between two calls of which the first failed, at the least and at the most.
    duration retry_delay = std::chrono::milliseconds{100};
    duration retry_delay_limit = std::chrono::seconds{2};
};

/// Receiver of what a watcher learns. Called on the event loop's thread.
class configuration_watcher_sink {
public:
    virtual ~configuration_watcher_sink() = default;

    /// A call to the key-value service has ended, with an answer or without.
    virtual void on_store_contact(bool is_reached) = 0;

    /// The key-value service holds this.
    virtual void on_envelope(const configuration_envelope& envelope) = 0;

    /// The key-value service holds a value that cannot be read.
    virtual void on_unreadable_envelope() = 0;
};

/// Watches the configuration in the key-value service while it is asked to. Used by the event loop's thread
/// only.
class configuration_watcher {
public:
    /// All references must outlive the watcher.
    configuration_watcher(event_base* base, key_value_service& store,
                          const configuration_watcher_options& options, entropy_source& entropy,
                          configuration_watcher_sink& sink);

    /// Starts or stops watching. A watch that waits already still reports its answer.
    void set_wanted(bool is_wanted);

private:
    void call();
    void on_answer(const store_answer& answer);
    void call_later();

    key_value_service& store_;
    configuration_watcher_options options_;
    entropy_source& entropy_;
    configuration_watcher_sink& sink_;
    bool is_wanted_ = false;
    bool is_waiting_ = false;
    std::uint64_t known_version_ = 0;
    duration delay_;
    timer retry_;
};

} // namespace hemlocknotch::daemon
