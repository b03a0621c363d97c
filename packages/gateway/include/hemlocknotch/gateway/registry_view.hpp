#pragma once

#include <hemlocknotch/gateway/registry_client.hpp>
#include <hemlocknotch/gateway/registry_position.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>
#include <hemlocknotch/gateway/rollout_table.hpp>

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
    bool has_signature_blocks = false;
    bool has_rollouts = false;
    /// Prompt parts whose blocks were removed, other than by a restore.
    std::vector<request_signature> lifted_signatures;

    [[nodiscard]] bool is_empty() const
    {
        return !has_configuration && !has_endpoints && !has_out_of_service && !has_members &&
               !has_signature_blocks && !has_rollouts;
    }
};

/// The registry as this gateway knows it, merged from reads, watches and the reports of other gateways. Never
/// returns to an older revision of a key.
///
/// After the registry has been restored from a copy, it holds older states than this gateway knows until
/// their writers have written them again. What is in force does not go back meanwhile: see `begin_era`.
///
/// Used by one thread at a time.
class registry_view {
public:
    /// Time after an outage of the registry within which endpoints whose registrations lapsed during the
    /// outage have registered again.
    static constexpr duration reregistration_grace = std::chrono::milliseconds{2200};

    /// Time for which a failure domain stays out of service, and the order of a roll-out holds, though a
    /// restored registry lacks the record, unless a later change says otherwise.
    static constexpr duration out_of_service_hold = std::chrono::seconds{10};

    /// Begins a new era, the first read of which is passed to `replace` next. From then on:
    /// - a configuration is replaced only by a later version;
    /// - an endpoint that was draining, or had left, when last heard of is not used until it is written
    /// again;
    /// - an endpoint that the registry lacks is used until the grace time is over;
    /// - a failure domain that the registry lacks stays out of service for `out_of_service_hold`, and the
    /// order of a roll-out holds as long.
    /// Precondition: `era` is above the present one.
    void begin_era(std::uint64_t era, instant now);

    /// Returns whether the registered state of some endpoint may be older than what was known before the
    /// restore. A later full read resolves this where the endpoint has written meanwhile.
    [[nodiscard]] bool has_doubtful_endpoints() const;

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

    /// Tells the view that the registry answers again since `at`, after an outage that this gateway saw
    /// itself. Until the grace time from `at` is over, removals of endpoints that were ready take no effect.
    void on_registry_recovered(instant at);

    /// Ends the grace time where it would end if the registry had answered again since `answering_since`, as
    /// other gateways know. Never extends it. `on_timer` makes removals final that were held back for longer.
    void limit_grace(instant answering_since);

    /// Returns the remaining grace time at `now`; zero: none.
    [[nodiscard]] duration remaining_grace(instant now) const;

    /// Makes removals final whose grace time is over. `next_due` returns when to call it.
    registry_difference on_timer(instant now);
    [[nodiscard]] instant next_due() const;

    /// Returns the newest revision that was applied. 0: none.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// Returns the era of that revision. 0: none was stated.
    [[nodiscard]] std::uint64_t era() const { return era_; }

    [[nodiscard]] registry_position position() const { return {era_, revision_}; }

    /// Returns the version of the configuration in force. 0: none.
    [[nodiscard]] std::uint64_t configuration_version() const;

    /// Returns all registry entries, without those that are only held back in a grace time, to be sent to a
    /// gateway that cannot read the registry itself.
    [[nodiscard]] std::vector<reported_change> snapshot() const;

    [[nodiscard]] std::shared_ptr<const routing_configuration> configuration() const;
    [[nodiscard]] std::vector<endpoint_record> endpoints() const;
    [[nodiscard]] std::set<std::string, std::less<>> out_of_service() const;
    [[nodiscard]] std::vector<member_item> members() const;
    [[nodiscard]] std::vector<signature_block> signature_blocks() const;
    [[nodiscard]] registered_rollouts rollouts() const;

private:
    /// What was known of an endpoint before the restore and contradicts its registered state.
    enum class doubt : std::uint8_t { none, was_draining, had_left };

    /// An endpoint as it was known in an earlier era.
    struct former_endpoint {
        std::uint64_t revision = 0;
        bool has_left = false;
        bool is_draining = false;
        std::uint64_t started_at_ms = 0;
    };

    struct entry {
        /// 0: the key was last written in an earlier era.
        std::uint64_t revision = 0;
        registry_item item;
        std::string value;
        /// If the key was removed: the end of the grace time, until which its endpoint is still used.
        instant used_until = instant::max();
        doubt doubted = doubt::none;
    };

    void apply_change(const registry_change& change, instant now, registry_difference& difference);
    void remove(std::map<std::string, entry>::iterator it, instant now, registry_difference& difference);
    /// Handles a key that is missing in a full read.
    void remove_missing(std::map<std::string, entry>::iterator it, instant now,
                        registry_difference& difference);
    [[nodiscard]] doubt doubt_of(const registry_change& change) const;
    static void mark_changed(const registry_item& item, registry_difference& difference);

    std::map<std::string, entry> entries_;
    /// Revisions at which keys were removed, so that older reports do not restore them.
    std::map<std::string, std::uint64_t> removed_;
    std::shared_ptr<const routing_configuration> configuration_;
    std::uint64_t revision_ = 0;
    instant grace_until_{};
    std::uint64_t era_ = 0;
    /// Endpoints as known in earlier eras. After the first full read of an era only those that had left and
    /// are not registered, since a further restore may bring back their registrations.
    std::map<std::string, former_endpoint> former_;
};

} // namespace hemlocknotch::gateway
