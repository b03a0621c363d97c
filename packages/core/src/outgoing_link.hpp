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

/// What an agent has been told of the demand, so that only changes are sent.
struct reported_demand {
    /// Count that the agent believes in, by account; one that is not named was told as having none.
    std::map<account_key, std::uint32_t> accounts;
    /// Accounts whose count the agent doubts, so that it has to be told anew whatever it is.
    std::set<account_key> doubted;
    std::uint64_t sequence = 0;
    bool is_snapshot_due = true;
    /// Version of the waiting queue that was told.
    std::uint64_t queue_version = 0;
    /// The next message may be sent from this time on; an urgent one from `urgent_at` on.
    instant next_at;
    instant urgent_at;
};

/// One link to an agent, from the order to open it until it has closed.
struct outgoing_link {
    link_id id = 0;
    /// Name of the agent as the instance list gives it.
    std::string target;
    bool is_open = false;
    bool is_closing = false;
    /// Whether the agent has said hello; the fields below hold from then on.
    bool has_hello = false;
    process_identity peer;
    std::string failure_domain;
    account_key service;
    instant last_heard;
    instant last_sent;
    /// When the heartbeat was sent that nothing has been heard since; nothing where something was.
    std::optional<instant> probed_at;
    std::uint64_t heartbeat_sequence = 0;
    /// Dispatches that the agent takes without a grant.
    std::uint32_t free_slots = 0;
    bool is_draining = false;
    /// Whether the instance list and the configuration allow to send it new work.
    bool is_permitted = false;
    std::vector<std::uint64_t> cached_prefixes;
    reported_demand told;
    /// Sums of service that the agent was told, in units.
    std::map<account_key, std::uint64_t> reported_totals;
};

/// One agent that this entry links to, or has to until its outstanding requests are resolved.
struct agent_target {
    member description;
    /// Whether the choice of links names it; if not, it is kept for its outstanding requests only.
    bool is_chosen = true;
    /// The link in use, and the one being opened beside it because it is silent; 0 for none.
    link_id link = 0;
    link_id replacement = 0;
    /// When the next attempt to connect may be made, and the failed attempts in a row.
    instant retry_at;
    std::uint32_t failures = 0;
};

} // namespace hemlocknotch
