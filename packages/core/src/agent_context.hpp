#pragma once

#include <hemlocknotch/core/agent_effect.hpp>
#include <hemlocknotch/core/agent_options.hpp>
#include <hemlocknotch/core/concurrency_limit.hpp>
#include <hemlocknotch/core/configuration_tracker.hpp>
#include <hemlocknotch/core/fair_order.hpp>
#include <hemlocknotch/core/member.hpp>
#include <hemlocknotch/core/reachability_monitor.hpp>

#include "account_selector.hpp"
#include "agent_dispatch_table.hpp"
#include "agent_link_table.hpp"
#include "demand_table.hpp"
#include "event_random.hpp"
#include "grant_table.hpp"
#include "tombstone_set.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// What the agent knows of its endpoint.
struct endpoint_view {
    /// Incarnation that it stated last, 0 for none.
    std::uint64_t incarnation = 0;
    /// Hashes of cached prompt beginnings, most recent last.
    std::vector<std::uint64_t> cached_prefixes;
};

/// When the periodic duties of an agent are due.
struct agent_schedule {
    instant next_report;
    instant next_health;
    instant next_maintenance;
    /// When demand that was put off may be tried again, where places are free.
    std::optional<instant> next_offer;
    /// Since when there has been demand without a break, and the grants that may go out at once.
    std::optional<instant> first_demand;
    long long early_grants = 0;
    std::uint64_t reports_sent = 0;
    std::optional<instant> scheduled_tick;
};

/// How far a planned stop has come.
struct stop_progress {
    std::optional<instant> requested;
    bool is_immediate = false;
    bool is_stopped = false;
};

/// The modules of an agent and the event that is being reduced. The functions in agent_*.hpp work on it, each
/// file on one duty.
struct agent_context {
    agent_context(const agent_options& settings, std::unique_ptr<fair_order> order,
                  std::unique_ptr<concurrency_limit> policy);

    /// Starts the reduction of an event.
    void begin(instant at, std::uint64_t bits);

    /// Sends `content` on `link`, if the link is known.
    void send(link_id link, message content);

    /// Adds an effect.
    template <class Effect>
    void add(Effect effect)
    {
        effects.emplace_back(std::move(effect));
    }

    /// Writes a log line.
    void log(log_level level, std::string_view event, std::vector<log_field> fields);

    /// Adds one to a counter with one label.
    void count(std::string_view name, std::string_view label_name, std::string_view label_value);

    /// Adds a value to a histogram, or sets a gauge.
    void measure(metric_kind kind, std::string_view name, double value);

    /// Closes a link whose peer broke the protocol.
    void reject_link(link_id link, std::string_view reason);

    agent_options options;
    instant now;
    event_random random{0};
    std::vector<agent_effect> effects;

    agent_link_table links;
    agent_dispatch_table dispatches;
    tombstone_set tombstones;
    grant_table grants;
    demand_table demand;
    account_selector selector;
    std::unique_ptr<concurrency_limit> limit;
    configuration_tracker tracker;
    std::optional<reachability_monitor> reachability;
    std::vector<member> members;
    endpoint_view endpoint;
    agent_schedule schedule;
    stop_progress stop;
    /// Limit at the last time that places were offered.
    std::uint32_t last_offered_limit = 0;
    bool is_leaving = false;
    bool is_watching = false;
    bool was_ready = false;
};

} // namespace hemlocknotch
