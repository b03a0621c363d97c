#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/gateway/registry_client.hpp>
#include <hemlocknotch/gateway/registry_contact.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>
#include <hemlocknotch/gateway/registry_view.hpp>

#include "../timer.hpp"
#include "registry_log.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Options of a `registry_follower`.
struct registry_follower_options {
    /// Name under which this gateway registers.
    std::string instance;
    /// Address that is registered, at which other gateways send their datagrams.
    endpoint_address members;
    /// Age at which the view is refreshed. Each endpoint writes about once a second, so that a watch that is
    /// reopened at once would return many times a second.
    duration max_age = std::chrono::milliseconds{800};
};

/// Totals for the metrics page.
struct registry_follower_counters {
    /// Reads and watches without a usable answer.
    std::uint64_t failed_reads = 0;
    /// Updates of other gateways that were applied.
    std::uint64_t applied_updates = 0;
    /// Updates of other gateways that were ignored because changes before them are missing here.
    std::uint64_t updates_after_gap = 0;
    /// Restores of the registry from a copy that were noticed.
    std::uint64_t restores = 0;
};

/// Keeps a view of the registry up to date and this gateway registered in it. The gateways share the load of
/// reading: each sends what it has read to the others. Used on the event loop's thread only.
class registry_follower {
public:
    using changed_callback = std::function<void(const gateway::registry_difference&)>;
    using log_callback = std::function<void(const log_effect&)>;
    /// Sends changes that were read to other gateways.
    using update_callback = std::function<void(gateway::registry_update)>;

    /// `base`, `client` and `view` must outlive the follower. `fetch_from_peers` is called while the registry
    /// cannot be read, after each failed call and for each update that cannot be applied; what it fetches is
    /// passed to `apply_snapshot`.
    registry_follower(event_base* base, gateway::registry_client& client, gateway::registry_view& view,
                      const registry_follower_options& options, std::function<instant()> now,
                      changed_callback changed, log_callback log, update_callback publish,
                      std::function<void()> fetch_from_peers);

    /// Reads the complete registry, registers this gateway, and follows changes from then on.
    void start();
    /// Stops following and ends the registration.
    void leave();

    /// Applies changes that another gateway has read, which postpones this gateway's own next read.
    void apply_update(const gateway::registry_update& update);
    /// Applies the complete registry as another gateway knows it. Ignored where it is not newer than the
    /// view, unless a full read is due, or where `update` is partial.
    void apply_snapshot(const gateway::registry_update& update);

    /// Records that another gateway has a version of the configuration in force. Where the view's stays
    /// older, the registry is read and other gateways are asked.
    void note_configuration(std::uint64_t version, std::string_view gateway);

    /// Returns the time as of which the view is known to be current.
    [[nodiscard]] instant current_as_of() const { return current_as_of_; }

    /// Returns the time from which on the registry is known to have answered some gateway without a gap.
    [[nodiscard]] instant answering_since() const { return contact_.answering_since(); }

    [[nodiscard]] bool is_reachable() const { return failed_since_ == instant::max(); }

    [[nodiscard]] const registry_follower_counters& counters() const { return counters_; }

private:
    void read();
    void watch();
    void handle_answer(gateway::registry_answer answer, bool is_full_read, instant requested_at);
    /// Compares the era of an answer of the registry with the view's. Returns whether the answer is to be
    /// handled further.
    bool accept_era(const gateway::registry_answer& answer, bool is_full_read);
    /// Handles an era that another gateway reported. Returns whether the update is to be handled further.
    bool accept_era(const gateway::registry_update& update);
    void begin_era(std::uint64_t era, std::uint64_t revision);
    /// Returns a random part of a time that grows with the number of gateways, so that their calls after a
    /// restore do not all reach the registry at once.
    duration draw_spread(duration for_each_gateway);
    void on_failure(gateway::registry_status status, instant requested_at);
    void on_success(instant requested_at);
    /// Weighs what another gateway states of the registry's answers: it may show that removals are held back
    /// for nothing. Returns whether the other one does so itself and this gateway knows better.
    bool weigh_statement(const gateway::registry_update& update);
    void schedule_read();
    /// Learns the configuration that another gateway has, unless it has come meanwhile.
    void fetch_configuration();
    void schedule_doubt_check();
    void check_doubts();
    [[nodiscard]] std::vector<gateway::registry_change> decode(const gateway::registry_update& update) const;
    /// Logs that some of the entries cannot be read, unless this is known. `is_complete`: `changes` are all
    /// entries.
    void log_unreadable(std::span<const gateway::registry_change> changes, bool is_complete);
    void publish(std::vector<gateway::reported_change> changes, std::uint64_t from_revision,
                 instant requested_at);
    void join();
    void handle_joined(const gateway::registry_answer& answer);
    void renew();
    /// Returns whether the view, which is newer than the registration, lacks it.
    [[nodiscard]] bool is_registration_missing() const;
    void handle_renewed(std::uint64_t lease, const gateway::registry_answer& answer);
    void notify_changed(const gateway::registry_difference& difference);
    void note_gap(const gateway::registry_update& update);
    void note_current(std::string_view source);

    gateway::registry_client& registry_client_;
    gateway::registry_view& view_;
    registry_follower_options options_;
    std::function<instant()> now_;
    changed_callback changed_;
    log_callback log_;
    update_callback publish_;
    std::function<void()> fetch_from_peers_;
    gateway::registry_contact contact_;
    std::minstd_rand random_{std::random_device{}()};
    /// Runs until the next read or watch of the registry, or until the retry of a failed one.
    timer read_timer_;
    /// Runs until the next renewal of the lease, or the next attempt to register.
    timer lease_timer_;
    /// Runs until pending removals in the view become final.
    timer grace_timer_;
    /// Runs until the full read that resolves doubts about endpoints after a restore.
    timer doubt_timer_;
    /// Runs until the configuration that another gateway has is fetched.
    timer configuration_timer_;
    /// The newer version that was last heard of, and the gateway that has it.
    std::uint64_t newer_configuration_ = 0;
    std::string newer_configuration_at_;
    bool is_configuration_fetch_due_ = false;
    instant current_as_of_{};
    /// Time of the first failure since the last successful read; `instant::max()`: none.
    instant failed_since_ = instant::max();
    /// Delay before the retry of a failed read or watch; zero after a successful one.
    duration retry_delay_{};
    /// The next read is a full one, because nothing is known yet, history was lost or the views differ.
    bool needs_full_read_ = true;
    /// An update had not room for all changes, so that the next read must not be postponed.
    bool has_partial_update_ = false;
    /// Time of the first update that was ignored after a gap since the view was last current;
    /// `instant::max()`: none.
    instant behind_since_ = instant::max();
    registry_follower_counters counters_;
    unreadable_entries unreadable_;
    /// Lease of the registration, granted in the era of the view; 0: none.
    std::uint64_t lease_id_ = 0;
    /// Latest era that the registry or another gateway stated; may be above the view's until it is read.
    std::uint64_t latest_era_ = 0;
    bool is_joining_ = false;
    /// Time of the last answer to an attempt to register.
    instant joined_at_{};
};

} // namespace hemlocknotch::daemon
