#pragma once

#include "entry_data.hpp"
#include "entry_step.hpp"

namespace hemlocknotch {

/// Duty of an entry: tell its agents what the others have served.
///
/// Where this entry has a link to every live agent of a service, it hears each of them itself and tells each
/// only the sums over the others: a number for each account. Where it hears only some, it relays what each
/// incarnation has served, so that other entries and agents can merge it.
class service_reporter {
public:
    /// Works on `data`, which must outlive it.
    explicit service_reporter(entry_data& data) : data_{data} {}

    /// Tells everything known to the agent behind a link that has just said hello.
    void on_hello(entry_step& step, outgoing_link& link);

    /// Tells all agents what has changed since the last time.
    void report(entry_step& step);

private:
    [[nodiscard]] bool is_linked_to_all(account_key service) const;
    void send_totals(entry_step& step, outgoing_link& link, const service_ledger& ledger,
                     std::vector<counter_floor_item> counter_floors);

    entry_data& data_;
};

} // namespace hemlocknotch
