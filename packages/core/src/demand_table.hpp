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

/// The demand of one client account over all entries.
struct account_demand {
    account_key client_account;
    double estimated_cost = 1.0;
    instant oldest_since;
};

/// Work that waits at the entries, as their messages tell it, less what grants are out for.
///
/// Entries tell the count in coarse steps, so a count that has been used up here is not taken for zero: only
/// the entry's own word removes it. Until then the account is tried again after `settle_time`. Not safe for
/// use by two threads at once.
class demand_table {
public:
    /// Time after which demand that seems used up or was declined is tried again without news of it.
    static constexpr duration settle_time = std::chrono::milliseconds{50};

    /// Takes in what the entry on `link` says. A message older than one already taken in changes nothing.
    void on_demand(link_id link, const demand_message& value, instant now);

    /// Forgets what was said on `link`, and its grants.
    void remove_link(link_id link);

    /// Tells that a grant is out for one request of `client_account` on `link`.
    void on_granted(link_id link, account_key client_account);

    /// Tells that the grant was answered by a request.
    void on_used(link_id link, account_key client_account, instant now);

    /// Tells that the grant was declined or has expired.
    void on_unused(link_id link, account_key client_account, instant now);

    /// Returns whether any entry has told of waiting work.
    [[nodiscard]] bool has_any() const { return !waiting_links_.empty(); }

    /// Returns whether `client_account` has told of waiting work on any link.
    [[nodiscard]] bool is_backlogged(account_key client_account) const;

    /// Returns the accounts with told demand, granted or not, in order of their keys.
    [[nodiscard]] std::vector<account_key> backlogged() const;

    /// Returns the accounts for which a grant may go out at `now`, in order of their keys.
    [[nodiscard]] std::vector<account_demand> grantable(instant now) const;

    /// Returns the link whose request of `client_account` has waited longest among those for which a grant
    /// may go out at `now`, and nothing where there is none.
    [[nodiscard]] std::optional<link_id> oldest_link(account_key client_account, instant now) const;

    /// Returns the estimated cost of the next request of `client_account` on `link`; 1 where it is not known.
    [[nodiscard]] double estimated_cost(link_id link, account_key client_account) const;

    /// Returns the earliest time after `now` at which demand may be tried again; nothing where there is none.
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
    /// Pairs with demand told, by account.
    std::set<std::pair<account_key, link_id>> waiting_links_;
};

} // namespace hemlocknotch
