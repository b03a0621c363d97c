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

/// What changed with the last call.
struct registry_difference {
    bool has_configuration = false;
    bool has_endpoints = false;
    bool has_out_of_service = false;
    bool has_members = false;
};

/// The registry as this gateway believes it to be, merged from reads, watches and other gateways' tellings.
/// Never goes back to an older revision of a key. Used by one thread at a time.
class registry_view {
public:
    /// Endpoints whose registrations lapsed while the registry was away have registered again after this
    /// time.
    static constexpr duration reregistration_grace = std::chrono::milliseconds{2200};

    /// Takes every key that exists; what is missing has been removed.
    registry_difference replace(std::span<const registry_change> changes, std::uint64_t revision,
                                instant now);

    /// Returns those of `changes`, not yet taken, that would change more than the age of what is known.
    [[nodiscard]] std::vector<reported_change>
    significant_changes(std::span<const registry_change> changes) const;

    /// Returns a hash of the keys that exist; the same for views that took the same changes.
    [[nodiscard]] std::uint64_t digest() const;

    /// Takes changes in any order, also repeated ones.
    registry_difference apply(std::span<const registry_change> changes, std::uint64_t revision, instant now);

    /// The registry answers again after an outage: removals of endpoints that were ready are held back for
    /// the grace from now on.
    void on_registry_recovered(instant now);

    /// Makes removals final whose grace is over. `next_due` says when.
    registry_difference on_timer(instant now);
    [[nodiscard]] instant next_due() const;

    /// Returns the newest revision taken. 0: none.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// Returns everything that is known, for a gateway that knows nothing.
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
        /// Removed, but its endpoint is still used until then.
        instant used_until = instant::max();
    };

    void apply_change(const registry_change& change, instant now, registry_difference& difference);
    void remove(std::map<std::string, entry>::iterator it, instant now, registry_difference& difference);
    static void mark_changed(const registry_item& item, registry_difference& difference);

    std::map<std::string, entry> entries_;
    /// Revisions at which keys were removed, so that older tellings do not bring them back.
    std::map<std::string, std::uint64_t> removed_;
    std::shared_ptr<const routing_configuration> configuration_;
    std::uint64_t revision_ = 0;
    instant grace_until_{};
};

} // namespace hemlocknotch::gateway
