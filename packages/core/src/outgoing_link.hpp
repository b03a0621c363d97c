#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/member.hpp>
#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlocknotch {

/// Demand reported to an agent, so that only changes are sent.
struct reported_demand {
    /// Count that the agent holds, by account; the agent holds zero for an account that is not listed.
    std::map<account_key, std::uint32_t> accounts;
    /// Accounts whose count the agent no longer relies on, so that it must be reported again even if
    /// unchanged.
    std::set<account_key> unconfirmed;
    std::uint64_t sequence = 0;
    bool is_snapshot_due = true;
    /// Version of the waiting queue that was last reported.
    std::uint64_t queue_version = 0;
    /// Earliest time of the next message; `urgent_at` is that of an urgent one.
    instant next_at;
    instant urgent_at;
};

/// A link to an agent, from the request to open it until it has closed.
struct outgoing_link {
    link_id id = 0;
    /// Name of the agent as the instance list gives it.
    std::string target;
    bool is_open = false;
    bool is_closing = false;
    /// Whether the agent's hello has been received; `peer`, `failure_domain` and `service` are valid from
    /// then on.
    bool has_hello = false;
    process_identity peer;
    std::string failure_domain;
    account_key service;
    instant last_received;
    instant last_sent;
    /// When the first heartbeat was sent since the last message was received; nothing if none has been sent
    /// since.
    std::optional<instant> probed_at;
    std::uint64_t heartbeat_sequence = 0;
    /// Number of dispatches that the agent accepts without a grant.
    std::uint32_t free_slots = 0;
    bool is_draining = false;
    /// Whether the instance list and the configuration permit new work on this link.
    bool is_permitted = false;
    std::vector<std::uint64_t> cached_prefixes;
    reported_demand reported;
    /// Service totals reported to the agent, in units.
    std::map<account_key, std::uint64_t> reported_totals;
};

/// An agent that this entry links to, or keeps a link to until its outstanding requests are resolved.
struct agent_target {
    member description;
    /// Whether it is among the chosen agents; if not, it is retained for its outstanding requests only.
    bool is_chosen = true;
    /// The link in use, and its replacement that is being opened because the agent is unresponsive or has
    /// another address; 0 for none.
    link_id link = 0;
    link_id replacement = 0;
    /// When the next connection attempt may be made, and the number of consecutive failures.
    instant retry_at;
    std::uint32_t failures = 0;
};

} // namespace hemlocknotch
