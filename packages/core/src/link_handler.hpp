#pragma once

#include <hemlocknotch/core/entry_event.hpp>

#include "dispatcher.hpp"
#include "entry_data.hpp"
#include "entry_step.hpp"
#include "outcome_handler.hpp"
#include "service_reporter.hpp"

namespace hemlocknotch {

/// Maintains the links to agents: chooses and opens them, checks that they are alive, and handles all
/// messages on them besides requests and answers.
class link_handler {
public:
    link_handler(entry_data& data, dispatcher& work, outcome_handler& outcomes)
        : data_{data}, dispatcher_{work}, outcomes_{outcomes}
    {
    }

    void on_members(entry_step& step, const members_event& value);
    void on_opened(entry_step& step, const link_opened_event& value);
    void on_closed(entry_step& step, const link_closed_event& value);
    void on_message(entry_step& step, const link_message_event& value);

    /// Sends heartbeats, replaces unresponsive links and reconnects, where due.
    void maintain(entry_step& step);

    /// Reports changed demand to the agents for which a report is due. Returns when to call again if there is
    /// more to report.
    std::optional<instant> report_demand(entry_step& step);

    /// Reports changes of the service counters to agents.
    void report_service(entry_step& step) { reports_.report(step); }

private:
    void close_in_use(entry_step& step, const agent_target& target);
    void on_hello(entry_step& step, outgoing_link& link, const hello_message& value);
    void resolve_outstanding(entry_step& step, outgoing_link& link);
    void on_service_report(outgoing_link& link, const service_report_message& value);
    void handle_message(entry_step& step, outgoing_link& link, const message& content);
    void on_contact(const entry_step& step, const outgoing_link& link);
    void maintain_link(entry_step& step, outgoing_link& link);
    void maintain_target(entry_step& step, agent_target& target);
    [[nodiscard]] bool is_active(const outgoing_link& link) const;

    entry_data& data_;
    dispatcher& dispatcher_;
    outcome_handler& outcomes_;
    service_reporter reports_{data_};
};

} // namespace hemlocknotch
