#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/message.hpp>
#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlocknotch {

/// Service that each client account has received from each agent incarnation of one service, as far as this
/// process knows. Reports merge by the highest sequence number and counter floors by maximum, so messages may
/// be lost, duplicated or reordered (a last-writer-wins map per source and a grow-only maximum; see Shapiro
/// et al., "Conflict-free Replicated Data Types", SSS 2011). Not safe for use by two threads at once.
///
/// A counter floor is stored as the units that are added to what an account was charged, so that its counter
/// reaches that of the others.
class service_ledger {
public:
    /// Creates an empty ledger in which `own` is the incarnation that charges. An entry process, which never
    /// charges, passes its own identity. `max_sources` bounds the number of incarnations; the one that has
    /// changed least recently is dropped first, `own` last. Precondition: `max_sources` is at least 1.
    explicit service_ledger(process_identity own, std::size_t max_sources = default_max_sources);

    static constexpr std::size_t default_max_sources = 4096;

    /// Adds `units` to what this incarnation has charged `client_account`. A negative value corrects an
    /// estimate.
    void charge(account_key client_account, double units);

    /// Merges a report, except for what it says of this incarnation. Returns whether anything changed.
    bool merge(const service_report_message& report);

    /// Merges sums that the entry process `entry` has computed over all incarnations but this one. They
    /// replace the earlier sums of that entry for the same accounts. Among several entries the highest sum
    /// counts, because an entry that has just started knows less than the others.
    void merge_totals(std::string_view entry, const service_totals_message& value);

    /// Returns the sums over all known incarnations but `receiver`, for `merge_totals` at `receiver`.
    /// Accounts without service are left out.
    [[nodiscard]] std::vector<total_item> totals_excluding(const process_identity& receiver) const;

    /// Returns the counter floors of all accounts.
    [[nodiscard]] std::vector<counter_floor_item> counter_floors() const;

    /// Raises the counter of `client_account` to `floor`, in units divided by weight, if it is lower.
    /// Precondition: `weight` is above zero.
    void raise_to(account_key client_account, double weight, double floor);

    /// Returns the weighted service of `client_account`: all units charged to it plus those of its counter
    /// floor, divided by `weight`. Precondition: `weight` is above zero.
    [[nodiscard]] double counter(account_key client_account, double weight) const;

    /// Returns the weighted service that `client_account` has received from this incarnation alone, without
    /// its counter floor. Precondition: `weight` is above zero.
    [[nodiscard]] double own_counter(account_key client_account, double weight) const;

    /// Returns the units that this incarnation has charged `client_account` since the last `take_changes`.
    [[nodiscard]] double own_charge_since_report(account_key client_account) const;

    /// Returns all changes since the last call, by this and other incarnations, as a report for `service`,
    /// and marks them as reported.
    service_report_message take_changes(account_key service);

    /// Returns the full contents as a report for `service`, for a peer that knows nothing yet.
    [[nodiscard]] service_report_message full_report(account_key service) const;

    /// Returns the number of known incarnations.
    [[nodiscard]] std::size_t source_count() const { return sources_.size(); }

private:
    struct charge_record {
        std::uint64_t sequence = 0;
        double charged = 0.0;
        bool is_changed = false;
    };

    struct source {
        std::unordered_map<account_key, charge_record> records;
        std::uint64_t last_change = 0;
    };

    struct counter_floor {
        double amount = 0.0;
        bool is_changed = false;
    };

    void drop_oldest_source();
    bool merge_counter_floors(std::span<const counter_floor_item> counter_floors);
    [[nodiscard]] double charged_to(account_key client_account) const;

    process_identity own_;
    std::size_t max_sources_;
    std::uint64_t change_count_ = 0;
    std::map<process_identity, source> sources_;
    std::unordered_map<account_key, double> totals_;
    std::unordered_map<account_key, double> own_charge_since_report_;
    std::unordered_map<account_key, counter_floor> counter_floors_;
    std::map<std::string, std::unordered_map<account_key, double>, std::less<>> totals_by_entry_;
};

} // namespace hemlocknotch
