#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/core/fair_order.hpp>
#include <hemlocknotch/core/service_ledger.hpp>

#include "demand_table.hpp"

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace hemlocknotch {

/// Chooses the client account that is served next, and keeps the counters that the choice depends on.
///
/// The counter of an account that becomes backlogged is raised to the lowest counter among the accounts that
/// are backlogged already, or to the last such floor if there are none, so that idle time earns no credit
/// (Sheng et al., OSDI 2024, algorithm 2). Not safe for use by two threads at once.
class account_selector {
public:
    /// Precondition: `order` is not null.
    account_selector(process_identity own, std::unique_ptr<fair_order> order, duration report_interval);

    /// Uses the weights of `value` from now on.
    void set_configuration(configuration_ptr value) { configuration_ = std::move(value); }

    /// Sets the number of agents of the service that accept requests. Precondition: `n` is at least 1.
    void set_agent_count(std::size_t n);

    /// Sets the accounts that are backlogged at `now`, in order of their keys, and raises the counters of
    /// those that had not been backlogged for longer than a few report intervals. A shorter gap does not
    /// count: an account whose last known request was just granted is not backlogged until its entry reports
    /// the next one, and raising its counter each time would take away service that it is still owed.
    void set_backlogged(const std::vector<account_key>& backlogged, instant now);

    /// Returns the position in `waiting` of the account to serve next; nothing if `waiting` is empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const account_demand> waiting, instant now,
                                                  std::uint64_t entropy) const;

    /// Returns the units to charge for each waiting or running request in addition to the delivered units:
    /// half of the mean cost, or half of `estimated_cost` while no request has ended. The amount is the same
    /// for all requests because every slot delivers at the same speed, whatever its request will cost.
    /// Charging it makes the order take the slots in use into account, which determine the service of the
    /// near future; docs/FAIR-ORDER.md has the figures.
    [[nodiscard]] double reserve_for(double estimated_cost) const;

    /// Charges `units` to a client account. A negative value corrects an estimate.
    void charge(account_key client_account, double units);

    /// Returns the changes of the ledger since the last report, and updates the mean rate of charges. Must be
    /// called once per report interval.
    service_report_message take_report(account_key service);

    /// Records the true cost of a request that has ended.
    void on_completed(double cost);

    /// Returns the mean cost of recent requests, in units.
    [[nodiscard]] double mean_cost() const { return mean_cost_; }

    /// Returns the weight of a client account; 1 before the first configuration.
    [[nodiscard]] double weight_of(account_key client_account) const;

    /// Returns the ledger that holds the counters.
    [[nodiscard]] service_ledger& ledger() { return ledger_; }

    /// Returns the ledger that holds the counters.
    [[nodiscard]] const service_ledger& ledger() const { return ledger_; }

private:
    [[nodiscard]] double counter(account_key client_account) const;
    [[nodiscard]] bool was_idle(account_key client_account, instant now) const;
    void record_backlogged(const std::vector<account_key>& backlogged, instant now);

    /// Returns the units charged per second: the moving average, or the rate since the last report where that
    /// is higher, as it is while free slots are being filled. The rate since the last report is at least the
    /// reserve of one request per report interval.
    [[nodiscard]] double current_rate() const;

    service_ledger ledger_;
    std::unique_ptr<fair_order> order_;
    configuration_ptr configuration_;
    std::size_t agent_count_ = 1;
    duration report_interval_;
    double charged_since_report_ = 0.0;
    /// Units charged per second, as a moving average.
    double own_rate_ = 0.0;
    double mean_cost_ = 1.0;
    bool has_mean_cost_ = false;
    std::set<account_key> backlogged_;
    /// When each account was last backlogged. Accounts that have become idle since are removed.
    std::unordered_map<account_key, instant> last_backlogged_;
    /// Lowest counter among the backlogged accounts when there last were any.
    double counter_floor_ = 0.0;
};

} // namespace hemlocknotch
