#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/gateway/registry_feed.hpp>
#include <hemlocknotch/gateway/registry_view.hpp>

#include "../timer.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace hemlocknotch::daemon {

/// Settings of a follower.
struct follower_options {
    std::string instance;
    endpoint_address members;
    /// Age at which the view is renewed. Endpoints write about once a second, so that a watch that is opened
    /// again at once would return many times a second.
    duration max_age = std::chrono::milliseconds{800};
};

/// Keeps a view of the registry up to date, and this gateway registered in it. Used on the event loop's
/// thread only.
class registry_follower {
public:
    using changed_callback = std::function<void(const gateway::registry_difference&)>;
    using log_callback = std::function<void(const log_effect&)>;

    /// All must outlive the follower.
    registry_follower(event_base* base, gateway::registry_feed& feed, gateway::registry_view& view,
                      const follower_options& options, std::function<instant()> now, changed_callback changed,
                      log_callback log);

    /// Reads everything and follows it from then on.
    void start();
    /// Ends the registration.
    void leave();

    /// Tells what other gateways know: changes up to `revision`, current as of `as_of`.
    void take_told(const std::vector<gateway::registry_change>& changes, std::uint64_t revision,
                   instant as_of);

    /// Returns the moment as of which the view is known to be current.
    [[nodiscard]] instant current_as_of() const { return current_as_of_; }

    [[nodiscard]] bool is_reachable() const { return failed_since_ == instant::max(); }

private:
    void read();
    void watch();
    void take(gateway::registry_answer answer, bool is_whole, instant asked_at);
    void note_failure(gateway::registry_status status);
    void note_answer();
    void schedule(instant asked_at);
    void join();
    void keep();
    void report(const gateway::registry_difference& difference);

    gateway::registry_feed& feed_;
    gateway::registry_view& view_;
    follower_options options_;
    std::function<instant()> now_;
    changed_callback changed_;
    log_callback log_;
    timer next_;
    timer lease_;
    timer grace_;
    instant current_as_of_{};
    instant failed_since_ = instant::max();
    bool needs_whole_ = true;
    std::uint64_t lease_number_ = 0;
};

} // namespace hemlocknotch::daemon
