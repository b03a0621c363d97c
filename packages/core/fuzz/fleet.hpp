#pragma once

#include <hemlocknotch/core/agent_reducer.hpp>
#include <hemlocknotch/core/agent_state.hpp>
#include <hemlocknotch/core/entry_reducer.hpp>
#include <hemlocknotch/core/entry_state.hpp>

#include "fake_endpoint.hpp"
#include "oracle.hpp"
#include "timeline.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlocknotch::fuzz {

/// Parameters of one run.
struct fleet_options {
    std::uint64_t seed = 1;
    /// Events passed to reducers while faults are injected.
    std::uint64_t steps = 100000;
    /// Whether messages on one link are also duplicated and reordered.
    bool is_disordered = false;
    /// Runs without faults, with short delays and more requests than the endpoints sustain, so that
    /// `utilisation` shows whether slots were idle while requests waited.
    bool is_fault_free = false;
    /// Fault built into the harness, which a check must detect; empty for none.
    std::string mutation;
    /// First step from which messages and faults are printed.
    std::uint64_t trace_from = UINT64_MAX;
};

/// Real entry and agent reducers in one process. Their links, endpoints, callers, key-value service and
/// instance list are simulated and fail at random. One seed determines the whole run.
class fleet {
public:
    explicit fleet(const fleet_options& options);

    /// Runs the steps with faults, then clears all faults and runs on until every request must have ended.
    /// Throws `invariant_violation`.
    void run();

    /// Returns the number of events that were passed to reducers.
    [[nodiscard]] std::uint64_t steps() const { return steps_; }

    /// Returns the oracle that checks the answers of this run.
    [[nodiscard]] const oracle& checker() const { return oracle_; }

    /// Returns the share of the endpoints' slots that were busy while requests waited at any entry.
    [[nodiscard]] double utilisation() const;

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    /// One process: its reducer and the state that its simulated platform keeps for it.
    template <class Reducer>
    struct node {
        process_identity identity;
        std::string domain;
        std::unique_ptr<Reducer> reducer;
        std::map<link_id, connection_ptr> links;
        instant tick_at;
        bool is_watching = false;
        /// Configuration revision of the process at the last check, which must never decrease.
        std::uint64_t revision = 0;
        member_state state = member_state::live;
    };

    struct entry_node : node<entry_reducer> {
        /// Caller number of each open exchange.
        std::map<exchange_id, std::size_t> callers;
    };

    struct agent_node : node<agent_reducer> {
        std::unique_ptr<fake_endpoint> endpoint;
        link_id last_link = 0;
        /// Latest attempt received for each request, and whether the agent knew at that time that it was out
        /// of service.
        std::map<request_id, std::pair<std::uint32_t, bool>> last_attempts;
    };

    /// Both ends of one link. A dropping link discards all messages; a stalled link delivers them from
    /// `stalled_until` on.
    struct connection {
        std::size_t entry = 0;
        std::size_t agent = 0;
        process_identity entry_process;
        process_identity agent_process;
        link_id entry_link = 0;
        link_id agent_link = 0;
        bool is_open = false;
        bool is_dropping = false;
        instant stalled_until;
        /// Latest scheduled delivery in each direction, which keeps messages in order.
        instant last_to_agent;
        instant last_to_entry;
    };

    void start_entry(std::size_t n);
    void start_agent(std::size_t n);
    void stop_links(const std::map<link_id, connection_ptr>& links);
    /// Passes an event to the reducer of `to`, carries out its effects and checks its invariants.
    void feed(entry_node& to, decltype(entry_event::content) content);
    void feed(agent_node& to, decltype(agent_event::content) content);
    /// Passes an event to `to` unless it has restarted, that is, its identity is no longer `process`.
    void feed_if_current(entry_node& to, const process_identity& process,
                         decltype(entry_event::content) content);
    void feed_if_current(agent_node& to, const process_identity& process,
                         decltype(agent_event::content) content);

    /// Carry out effects in the simulated platform. Effects without an overload are ignored.
    void on(entry_node& from, const open_link_effect& effect);
    void on(entry_node& from, const reply_head_effect& effect);
    void on(entry_node& from, const reply_part_effect& effect);
    void on(entry_node& from, const reply_end_effect& effect);
    void on(entry_node& from, const reply_abort_effect& effect);
    void on(entry_node& from, const reply_refusal_effect& effect);
    void on(entry_node& from, const claim_key_effect& effect);
    void on(entry_node& from, const settle_claim_effect& effect);
    void on(agent_node& from, const start_call_effect& effect);
    void on(agent_node& from, const stop_call_effect& effect);
    void on(agent_node& from, const probe_endpoint_effect& effect);
    template <class Node>
    void on(Node& from, const send_effect& effect);
    template <class Node>
    void on(Node& from, const close_link_effect& effect);
    template <class Node>
    void on(Node& from, const read_configuration_effect& effect);
    template <class Node>
    void on(Node& from, const watch_store_effect& effect);
    template <class Node>
    void on(Node& from, const schedule_tick_effect& effect);
    template <class Node>
    void on(Node& from, const stopped_effect& effect);

    template <class Node, class Other>
    void on(Node& /*from*/, const Other& /*effect*/)
    {
    }

    void schedule_delivery(const connection_ptr& link, bool is_to_agent, message content);
    void deliver_now(const connection_ptr& link, bool is_to_agent, const message& content);
    void disconnect(const connection_ptr& link);
    void measure_utilisation();
    void check_invariants(entry_node& of);
    void check_invariants(agent_node& of);
    void send_caller_request();
    void inject_fault();
    void clear_faults();
    void publish_members();
    void notify_store_watchers();
    void publish_configuration(const out_of_service& out);
    void inject_link_fault();
    void inject_process_fault();
    void change_out_of_service();
    /// Returns the configuration of `revision` as `reader` receives it, changed by the mutation
    /// "work-when-out".
    template <class Node>
    [[nodiscard]] configuration_ptr configuration_for(const Node& reader, std::uint64_t revision) const;
    [[nodiscard]] bool is_out_of_service(const agent_node& it) const;

    [[nodiscard]] bool is_mutated(std::string_view name) const { return options_.mutation == name; }

    void trace(const std::string& text) const;

    fleet_options options_;
    timeline timeline_;
    oracle oracle_;
    std::vector<entry_node> entries_;
    std::vector<agent_node> agents_;
    /// All published configurations; revision n is at index n - 1.
    std::vector<configuration_ptr> revisions_;
    /// Request that has claimed each idempotency key, by account and key.
    std::map<std::string, request_id> claims_;
    bool is_store_up_ = true;
    /// Whether callers send requests and, unless `is_fault_free` is set, faults are injected.
    bool is_faulty_ = true;
    exchange_id last_exchange_ = 0;
    std::uint64_t steps_ = 0;
    instant measured_at_;
    duration busy_slot_time_{};
    duration available_slot_time_{};
};

} // namespace hemlocknotch::fuzz
