#pragma once

#include <hemlocknotch/core/time.hpp>

#include "../process_clock.hpp"
#include "../start_error.hpp"
#include "../timer.hpp"
#include "gateway_shell.hpp"

#include <optional>

namespace hemlocknotch::daemon {

/// Starts a gateway, and tries again for a while where an address that it listens on is taken or not there
/// yet, such as by the process before it. Used by one thread.
class gateway_starter {
public:
    /// Starts within `limit` of its creation, or not at all. `base` and `shell` must outlive the starter.
    gateway_starter(event_base* base, gateway_shell& shell, duration limit);

    gateway_starter(const gateway_starter&) = delete;
    gateway_starter(gateway_starter&&) = delete;
    gateway_starter& operator=(const gateway_starter&) = delete;
    gateway_starter& operator=(gateway_starter&&) = delete;
    ~gateway_starter() = default;

    /// Stops the gateway, or ends the event loop where it has not started.
    void stop();

    /// Returns why the gateway could not start for good; the event loop has then ended. Empty: it has
    /// started, or was stopped before.
    [[nodiscard]] const std::optional<start_error>& error() const { return error_; }

private:
    void attempt();
    void on_failure(const start_error& failure);

    event_base* base_;
    gateway_shell& shell_;
    process_clock clock_;
    instant until_;
    timer next_attempt_;
    std::optional<start_error> error_;
    bool has_started_ = false;
    bool is_delayed_ = false;
};

} // namespace hemlocknotch::daemon
