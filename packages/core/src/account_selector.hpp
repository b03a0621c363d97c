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

/// Chooses the client account that is served next, and keeps the counters that the choice rests on.
///
/// An account that becomes backlogged is lifted to the lowest counter among the accounts that are backlogged
/// already, or to the last such floor where there are none, so that idle time earns no credit (Sheng et al.,
/// OSDI 2024, algorithm 2). Not safe for use by two threads at once.
class account_selector {
public:
    /// Precondition: `order` is not null.
    account_selector(process_identity own, std::unique_ptr<fair_order> order, duration report_interval);

    /// Puts the weights of a configuration in force.
    void set_configuration(configuration_ptr value) { configuration_ = std::move(value); }

    /// Sets the number of agents of the service that take work. Precondition: at least 1.
    void set_agent_count(std::size_t n);

    /// Tells which accounts are backlogged at `now`, in order of their keys; lifts those that were not for
    /// longer than a few report intervals. An account whose last request was just granted is away until its
    /// entry tells the next one; a lift each time would take away what it is still owed.
    void set_backlogged(const std::vector<account_key>& backlogged, instant now);

    /// Returns the position in `waiting` of the account to serve next; nothing where it is empty.
    [[nodiscard]] std::optional<std::size_t> next(std::span<const account_demand> waiting, instant now,
                                                  std::uint64_t entropy) const;

    /// Returns what to charge beyond the delivered units for each request that waits or runs: the same for
    /// all, half of the mean cost, or of `estimated_cost` while no request has ended. As every place delivers
    /// at the same speed whatever its request will cost, this lets the order weigh places in use, which is
    /// what changes the service of the near future; docs/FAIR-ORDER.md has the figures.
    [[nodiscard]] double reserve_for(double estimated_cost) const;

    /// Charges `units` to a client account; below zero to correct an estimate.
    void charge(account_key client_account, double units);

    /// Returns the changes of the counters since the last report.
    service_report_message take_report(account_key service);

    /// Takes in the true cost of a request that has ended.
    void on_completed(double cost);

    /// Returns the mean cost of recent requests, in units.
    [[nodiscard]] double mean_cost() const { return mean_cost_; }

    /// Returns the weight of a client account; 1 before the first configuration.
    [[nodiscard]] double weight_of(account_key client_account) const;

    /// Returns the counters.
    [[nodiscard]] service_ledger& ledger() { return ledger_; }

    /// Returns the counters.
    [[nodiscard]] const service_ledger& ledger() const { return ledger_; }

private:
    [[nodiscard]] double counter(account_key client_account) const;
    [[nodiscard]] bool was_idle(account_key client_account, instant now) const;
    void record_backlogged(const std::vector<account_key>& backlogged, instant now);

    /// Returns the units charged in a second: on average, or since the last report where that is more, as it
    /// is when free places are filled; not less than one request in each report interval.
    [[nodiscard]] double current_rate() const;

    service_ledger ledger_;
    std::unique_ptr<fair_order> order_;
    configuration_ptr configuration_;
    std::size_t agent_count_ = 1;
    duration report_interval_;
    double charged_since_report_ = 0.0;
    /// Units charged in a second.
    double own_rate_ = 0.0;
    double mean_cost_ = 1.0;
    bool has_mean_cost_ = false;
    std::set<account_key> backlogged_;
    /// When each account was last backlogged, as far back as it matters.
    std::unordered_map<account_key, instant> last_backlogged_;
    /// Lowest counter among the backlogged accounts when there last were any.
    double counter_floor_ = 0.0;
};

} // namespace hemlocknotch
