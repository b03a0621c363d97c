#pragma once

#include <hemlocknotch/gateway/registry_client.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// Kinds of registry entries that a call changed.
struct registry_difference {
    bool has_configuration = false;
    bool has_endpoints = false;
    bool has_out_of_service = false;
    bool has_members = false;
};

/// The registry as this gateway knows it, merged from reads, watches and the reports of other gateways. Never
/// returns to an older revision of a key. Used by one thread at a time.
class registry_view {
public:
    /// Time after an outage of the registry within which endpoints whose registrations lapsed during the
    /// outage have registered again.
    static constexpr duration reregistration_grace = std::chrono::milliseconds{2200};

    /// Replaces the content by `changes`, which holds every key that exists at `revision`; other keys have
    /// been removed.
    registry_difference replace(std::span<const registry_change> changes, std::uint64_t revision,
                                instant now);

    /// Returns those of `changes`, none of them applied yet, that change more than the age of a registration;
    /// of several changes of one key only the last. Precondition: `changes` are in order of revisions.
    [[nodiscard]] std::vector<reported_change>
    significant_changes(std::span<const registry_change> changes) const;

    /// Returns a hash of the keys that exist; equal for views to which the same changes were applied.
    [[nodiscard]] std::uint64_t digest() const;

    /// Applies changes, which may be in any order and repeated.
    registry_difference apply(std::span<const registry_change> changes, std::uint64_t revision, instant now);

    /// Tells the view that the registry answers again after an outage. Until the grace time from `now` is
    /// over, removals of endpoints that were ready take no effect.
    void on_registry_recovered(instant now);

    /// Extends the grace time to `until`, as another gateway has reported it. Never shortens it.
    void extend_grace(instant until);

    /// Returns the remaining grace time at `now`; zero: none.
    [[nodiscard]] duration remaining_grace(instant now) const;

    /// Makes removals final whose grace time is over. `next_due` returns when to call it.
    registry_difference on_timer(instant now);
    [[nodiscard]] instant next_due() const;

    /// Returns the newest revision that was applied. 0: none.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// Returns all registry entries, without those that are only held back in a grace time, to be sent to a
    /// gateway that cannot read the registry itself.
    [[nodiscard]] std::vector<reported_change> snapshot() const;

    [[nodiscard]] std::shared_ptr<const routing_configuration> configuration() const;
    [[nodiscard]] std::vector<endpoint_record> endpoints() const;
    [[nodiscard]] std::set<std::string, std::less<>> out_of_service() const;
    [[nodiscard]] std::vector<member_item> members() const;

private:
    struct entry {
        std::uint64_t revision = 0;
        registry_item item;
        std::string value;
        /// If the key was removed: the end of the grace time, until which its endpoint is still used.
        instant used_until = instant::max();
    };

    void apply_change(const registry_change& change, instant now, registry_difference& difference);
    void remove(std::map<std::string, entry>::iterator it, instant now, registry_difference& difference);
    static void mark_changed(const registry_item& item, registry_difference& difference);

    std::map<std::string, entry> entries_;
    /// Revisions at which keys were removed, so that older reports do not restore them.
    std::map<std::string, std::uint64_t> removed_;
    std::shared_ptr<const routing_configuration> configuration_;
    std::uint64_t revision_ = 0;
    instant grace_until_{};
};

} // namespace hemlocknotch::gateway
