#pragma once

#include "entry_data.hpp"
#include "entry_step.hpp"

namespace hemlocknotch {

/// Entry: reports to each agent the service that accounts have received from the other agents.
///
/// If the entry has a link to every live agent of a service, it receives the reports of all of them, and
/// sends each agent only the sums over the others: one number per account. Otherwise it relays the service of
/// each agent incarnation separately, so that other entries and agents can merge it.
class service_reporter {
public:
    /// Precondition: `data` outlives this object.
    explicit service_reporter(entry_data& data) : data_{data} {}

    /// Sends the full contents of the service's ledger to the agent on a link that has just sent its hello.
    void on_hello(entry_step& step, outgoing_link& link);

    /// Sends all agents what has changed since the last report.
    void report(entry_step& step);

private:
    [[nodiscard]] bool is_linked_to_all(account_key service) const;
    void send_totals(entry_step& step, outgoing_link& link, const service_ledger& ledger,
                     std::vector<counter_floor_item> counter_floors);

    entry_data& data_;
};

} // namespace hemlocknotch
