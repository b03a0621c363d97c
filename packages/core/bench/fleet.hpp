#pragma once

#include <hemlocknotch/core/agent_reducer.hpp>
#include <hemlocknotch/core/agent_state.hpp>

#include "gap_meter.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

/// Simulates a fleet of real agent reducers with scripted entries, in one process and in virtual time.
namespace hemlocknotch::bench {

/// Parameters of one run.
struct fleet_options {
    std::size_t agents = 20;
    std::size_t entries = 6;
    std::size_t accounts = 16;
    /// Requests that each endpoint runs at once.
    std::uint32_t slots = 8;
    std::uint64_t seed = 1;
    /// Virtual length of the run.
    duration length = std::chrono::seconds{600};
    /// Time at the start that the fairness gap and the utilisation leave out.
    duration warm_up{};
    duration report_interval = std::chrono::seconds{1};
    duration link_delay = std::chrono::milliseconds{1};
    /// Time that an endpoint takes to produce one unit of an answer.
    duration unit_time = std::chrono::milliseconds{20};
    /// Standard deviation of the natural logarithm of a request's cost.
    double cost_spread = 0.8;
    /// Largest cost of a request, in units.
    double max_cost = 4000.0;
    /// Number of entries to which each account sends its requests.
    std::size_t entries_per_account = 2;
    /// Offered load as a share of the fleet's capacity. Above 1 all accounts stay backlogged; at 0 the queues
    /// are refilled so that all accounts are always backlogged.
    double load = 0.0;
    /// Creates the fair order of one agent.
    std::function<std::unique_ptr<fair_order>()> create_order;
};

/// Measurements of one run.
struct fleet_result {
    /// Largest fairness gap, in units divided by the account's weight.
    double gap_units = 0.0;
    /// The same gap in seconds of service at one account's fair share.
    double gap_seconds = 0.0;
    /// Jain index of the service; 1 is perfectly fair.
    double jain = 1.0;
    /// Share of the slots that were in use while any request waited.
    double utilisation = 0.0;
    std::uint64_t requests = 0;
    /// Grants that an entry declined because the account had no waiting request there.
    std::uint64_t declines = 0;
    std::uint64_t refusals = 0;
    /// Items in the service reports that agents send over all links, per agent and second.
    double report_items = 0.0;
};

/// One run of the simulation. Not safe for use by two threads at once.
class fleet {
public:
    explicit fleet(const fleet_options& options);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;
    ~fleet() = default;

    /// Runs the simulation to its end and returns the measurements.
    fleet_result run();

private:
    struct waiting_request {
        double cost = 1.0;
        instant arrived;
    };

    struct scripted_entry {
        std::uint64_t incarnation = 0;
        std::uint64_t last_sequence = 0;
        std::uint64_t demand_sequence = 0;
        std::vector<std::deque<waiting_request>> queues;
        /// Number of waiting requests last reported to the agents, by account.
        std::vector<std::size_t> reported;
        std::vector<std::uint32_t> free_slots;
        std::unique_ptr<service_ledger> ledger;
        /// Account that was last considered for a free slot. Accounts take turns: the following one is next.
        std::size_t last_considered_account = 0;
        instant demand_reported_at;
        bool is_demand_report_scheduled = false;
    };

    struct running_call {
        std::size_t agent = 0;
        call_id call = 0;
        std::size_t account = 0;
        double remaining_cost = 0.0;
        bool is_stopped = false;
    };

    struct timed_event {
        instant at;
        std::uint64_t insertion_order = 0;
        std::function<void()> action;

        friend bool operator>(const timed_event& left, const timed_event& right)
        {
            return left.at != right.at ? left.at > right.at : left.insertion_order > right.insertion_order;
        }
    };

    void schedule(duration delay, std::function<void()> action);
    void set_up();
    void feed(std::size_t agent, decltype(agent_event::content) content);
    void apply_effect(std::size_t agent, agent_effect effect);
    void on_message(std::size_t entry, std::size_t agent, const message& value);
    void send_message(std::size_t entry, std::size_t agent, message value);
    void start_call(std::size_t agent, const start_call_effect& effect);
    void continue_call(const std::shared_ptr<running_call>& call);
    void generate_arrivals(std::size_t account);
    void add_waiting(std::size_t entry, std::size_t account);
    void submit(std::size_t entry, std::size_t agent, std::size_t account, std::uint64_t grant);
    void use_free_slots(std::size_t entry);
    void change_waiting(std::size_t account, int by);
    void schedule_demand_report(std::size_t entry);
    void report_demand(std::size_t entry);
    void report_service(std::size_t entry);
    void sample();
    [[nodiscard]] double draw_cost(std::size_t account);
    [[nodiscard]] std::size_t account_of(account_key key) const;

    fleet_options options_;
    std::mt19937_64 random_;
    instant now_{std::chrono::seconds{1}};
    std::uint64_t insertion_count_ = 0;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> events_;
    std::vector<std::unique_ptr<agent_reducer>> agents_;
    std::vector<instant> ticks_;
    std::vector<scripted_entry> entries_;
    std::vector<account_key> keys_;
    std::vector<double> medians_;
    std::vector<std::size_t> waiting_;
    std::vector<std::uint64_t> arrived_;
    gap_meter meter_;
    fleet_result result_;
    /// Slots in use, added up over all samples.
    double used_slots_sum_ = 0.0;
    double sample_count_ = 0.0;
};

} // namespace hemlocknotch::bench
