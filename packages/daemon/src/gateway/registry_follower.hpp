#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/gateway/registry_client.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>
#include <hemlocknotch/gateway/registry_view.hpp>

#include "../timer.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace hemlocknotch::daemon {

/// Settings of a follower.
struct registry_follower_options {
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
    /// Tells others what was read.
    using news_callback = std::function<void(gateway::registry_update)>;

    /// All must outlive the follower. `ask_others` is called while nothing is known and the registry does not
    /// answer; what comes of it goes to `take_whole`.
    registry_follower(event_base* base, gateway::registry_client& feed, gateway::registry_view& view,
                      const registry_follower_options& options, std::function<instant()> now,
                      changed_callback changed, log_callback log, news_callback tell,
                      std::function<void()> ask_others);

    /// Reads everything and follows it from then on.
    void start();
    /// Ends the registration.
    void leave();

    /// Takes what another gateway has read, so that this one need not.
    void take_news(const gateway::registry_update& news);
    /// Takes all that another gateway knows. Ignored once something is known here.
    void take_whole(const gateway::registry_update& news);

    /// Returns the moment as of which the view is known to be current.
    [[nodiscard]] instant current_as_of() const { return current_as_of_; }

    [[nodiscard]] bool is_reachable() const { return failed_since_ == instant::max(); }

private:
    void read();
    void watch();
    void take(gateway::registry_answer answer, bool is_whole, instant asked_at);
    void note_failure(gateway::registry_status status);
    void note_answer();
    void schedule();
    [[nodiscard]] std::vector<gateway::registry_change> decode(const gateway::registry_update& news) const;
    void tell(std::vector<gateway::reported_change> changes, std::uint64_t from_revision, instant asked_at);
    void join();
    void renew();
    void report(const gateway::registry_difference& difference);

    gateway::registry_client& feed_;
    gateway::registry_view& view_;
    registry_follower_options options_;
    std::function<instant()> now_;
    changed_callback changed_;
    log_callback log_;
    news_callback tell_;
    std::function<void()> ask_others_;
    std::minstd_rand random_{std::random_device{}()};
    timer next_;
    timer lease_;
    timer grace_;
    instant current_as_of_{};
    instant failed_since_ = instant::max();
    /// Pause after the last call where it failed.
    duration pause_{};
    bool needs_whole_ = true;
    std::uint64_t lease_number_ = 0;
};

} // namespace hemlocknotch::daemon
