#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlocknotch {

/// The demand of one client account across all entries.
struct account_demand {
    account_key client_account;
    double estimated_cost = 1.0;
    instant oldest_since;
};

/// Requests that wait at the entry processes according to their demand messages, minus the outstanding
/// grants. Belongs to an agent.
///
/// Part of the credit-based flow control between entries and agents: an entry reports demand, this agent
/// grants a slot for one request, and the entry uses the grant or declines it. Entries report the number of
/// waiting requests in coarse steps, so a number that the grants have used up in this table may not be zero
/// at the entry: only a demand message from the entry removes it. Until then the agent may issue another
/// grant to the account after `retry_delay`. Not thread-safe.
class demand_table {
public:
    /// Time after which the agent may issue another grant to an account on a link without a new demand
    /// message from the entry, if the last request that the entry reported has used its grant, or if a grant
    /// was declined or has expired. Without the delay, the agent would repeat grants for requests that no
    /// longer wait.
    static constexpr duration retry_delay = std::chrono::milliseconds{50};

    /// Handles a demand message from the entry on `link`. A message older than one already handled changes
    /// nothing.
    void on_demand(link_id link, const demand_message& value, instant now);

    /// Removes the demand reported on `link` and its grants.
    void remove_link(link_id link);

    /// Records a grant for one request of `client_account` on `link`.
    void on_granted(link_id link, account_key client_account);

    /// Records that a grant was used by a request.
    void on_used(link_id link, account_key client_account, instant now);

    /// Records that a grant was declined or has expired.
    void on_unused(link_id link, account_key client_account, instant now);

    /// Returns whether any entry has reported waiting work.
    [[nodiscard]] bool has_any() const { return !waiting_links_.empty(); }

    /// Returns whether waiting work of `client_account` has been reported on any link.
    [[nodiscard]] bool is_backlogged(account_key client_account) const;

    /// Returns the accounts with reported demand, granted or not, ordered by key.
    [[nodiscard]] std::vector<account_key> backlogged() const;

    /// Returns the accounts that may get a grant at `now`, ordered by key.
    [[nodiscard]] std::vector<account_demand> grantable(instant now) const;

    /// Returns the link with the longest-waiting request of `client_account` among the links that may get a
    /// grant at `now`, or nothing if there is none.
    [[nodiscard]] std::optional<link_id> oldest_link(account_key client_account, instant now) const;

    /// Returns the estimated cost of the next request of `client_account` on `link`; 1 if unknown.
    [[nodiscard]] double estimated_cost(link_id link, account_key client_account) const;

    /// Returns the earliest time after `now` at which a `retry_delay` ends and its account may get a grant
    /// again, or nothing if there is none.
    [[nodiscard]] std::optional<instant> next_retry(instant now) const;

private:
    struct entry_demand {
        std::uint32_t waiting = 0;
        std::uint32_t granted = 0;
        double estimated_cost = 1.0;
        instant oldest_since;
        instant not_before;

        [[nodiscard]] bool is_grantable(instant now) const { return waiting > granted && now >= not_before; }
    };

    using by_link = std::map<link_id, entry_demand>;

    entry_demand* find(link_id link, account_key client_account);
    void set_waiting(link_id link, const demand_item& item, instant now);
    void erase_if_empty(link_id link, account_key client_account);
    void clear_waiting(link_id link, account_key client_account);

    std::map<account_key, by_link> accounts_;
    std::map<link_id, std::uint64_t> sequences_;
    /// Pairs of account and link with reported demand, ordered by account.
    std::set<std::pair<account_key, link_id>> waiting_links_;
};

} // namespace hemlocknotch
