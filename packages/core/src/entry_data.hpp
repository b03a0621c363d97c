#pragma once

#include <hemlocknotch/core/configuration_tracker.hpp>
#include <hemlocknotch/core/entry_options.hpp>
#include <hemlocknotch/core/reachability_monitor.hpp>
#include <hemlocknotch/core/service_ledger.hpp>

#include "cost_estimator.hpp"
#include "dispatch_rate.hpp"
#include "link_table.hpp"
#include "request_table.hpp"
#include "retry_budget.hpp"
#include "waiting_queue.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlocknotch {

/// Complete state of an entry, shared by reference between the handlers.
struct entry_data {
    /// Creates the state of an entry that starts at `now`.
    entry_data(const entry_options& chosen, instant now)
        : options{chosen}, budget{chosen.retry_share, now}, reachability{chosen.out_of_reach_limit, now}
    {
    }

    entry_options options;
    configuration_tracker configuration;
    request_table requests;
    /// Waiting requests and service counters, by service.
    std::map<account_key, waiting_queue> queues;
    std::map<account_key, service_ledger> ledgers;
    link_table links;
    cost_estimator estimator;
    retry_budget budget;
    dispatch_rate rate;
    reachability_monitor reachability;
    std::vector<member> members;
    std::uint64_t last_sequence = 0;
    /// Claims of requests that ended while the claim was pending; if such a claim succeeds after all, it is
    /// released.
    std::map<request_id, claim_key_effect> abandoned_claims;
    bool is_draining = false;
    /// Deadline of a graceful stop: the requests that are still open at this time are ended. Set while
    /// draining.
    instant stop_at;

    /// Returns whether this entry has been taken out of service.
    [[nodiscard]] bool is_out_of_service() const
    {
        const configuration_ptr& current = configuration.current();
        return current != nullptr &&
               current->is_out_of_service(options.identity.name, options.failure_domain);
    }

    /// Returns whether new work may be sent to the agent on `link`.
    [[nodiscard]] static bool may_send_work(const outgoing_link& link)
    {
        return link.is_open && link.has_hello && link.is_permitted && !link.is_draining;
    }

    /// Recomputes on which links new work is permitted. Must be called after each change of the
    /// configuration, the members or the links in use.
    void update_permissions()
    {
        const configuration_ptr& current = configuration.current();
        for (auto& [id, link] : links.links()) {
            const agent_target* const target = links.find_target(link.target);
            link.is_permitted = current != nullptr && target != nullptr && target->is_chosen &&
                                target->link == id &&
                                !current->is_out_of_service(link.peer.name, link.failure_domain);
        }
    }
};

} // namespace hemlocknotch
