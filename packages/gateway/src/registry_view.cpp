#include <hemlocknotch/gateway/registry_view.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace hemlocknotch::gateway {
namespace {

/// Maximum number of removed keys that are recorded. Old ones matter only while other gateways may still
/// report the key.
constexpr std::size_t max_removals = 4096;

bool is_ready_endpoint(const registry_item& item)
{
    const auto* endpoint = std::get_if<endpoint_item>(&item);
    return endpoint != nullptr && !endpoint->record.is_draining;
}

bool is_faulty(const registry_item& item)
{
    const auto* odd = std::get_if<unreadable_item>(&item);
    return odd != nullptr && !odd->fault.empty();
}

/// Returns whether both are endpoints that differ at most in the age of their registrations, or neither names
/// anything to use.
bool is_same(const registry_item& a, const registry_item& b)
{
    if (is_faulty(a) && is_faulty(b)) {
        return true;
    }
    const auto* before = std::get_if<endpoint_item>(&a);
    const auto* after = std::get_if<endpoint_item>(&b);
    return before != nullptr && after != nullptr && before->record == after->record;
}

/// Returns whether operators write the item, and it holds until they have written it again after a restore.
bool is_held_after_restore(const registry_item& item)
{
    return std::holds_alternative<out_of_service_item>(item) || std::holds_alternative<rollout_order>(item);
}

} // namespace

void registry_view::begin_era(std::uint64_t era, instant now)
{
    assert(era > era_);
    if (former_.size() >= max_removals) {
        former_.clear();
    }
    for (const auto& [key, revision] : removed_) {
        former_[key] = {.revision = revision, .has_left = true, .is_draining = false, .started_at_ms = 0};
    }
    for (auto& [key, it] : entries_) {
        const auto* endpoint = std::get_if<endpoint_item>(&it.item);
        // Revision 0: not read since an earlier restore, so that `former_` still holds what was known.
        if (endpoint != nullptr && it.used_until == instant::max() && it.revision != 0) {
            former_[key] = {.revision = it.revision,
                            .has_left = it.doubted == doubt::had_left,
                            .is_draining = endpoint->record.is_draining || it.doubted == doubt::was_draining,
                            .started_at_ms = endpoint->record.started_at_ms};
        }
        if (is_held_after_restore(it.item)) {
            // The time for writing it again begins anew.
            it.used_until = instant::max();
        }
        it.revision = 0;
    }
    removed_.clear();
    revision_ = 0;
    era_ = era;
    if (!entries_.empty()) {
        on_registry_recovered(now);
    }
}

registry_view::doubt registry_view::doubt_of(const registry_change& change) const
{
    const auto former = former_.find(change.key);
    const auto* endpoint = std::get_if<endpoint_item>(&change.item);
    const auto is_first_read = revision_ == 0;
    // A revision above the known one was assigned later, before or after the restore.
    if (endpoint == nullptr || !is_first_read || former == former_.end() ||
        change.revision > former->second.revision) {
        return doubt::none;
    }
    if (former->second.has_left) {
        return doubt::had_left;
    }
    const auto is_known_to_drain = former->second.is_draining && !endpoint->record.is_draining &&
                                   endpoint->record.started_at_ms <= former->second.started_at_ms;
    return is_known_to_drain ? doubt::was_draining : doubt::none;
}

bool registry_view::has_doubtful_endpoints() const
{
    return std::ranges::any_of(entries_, [](const auto& it) { return it.second.doubted != doubt::none; });
}

registry_difference registry_view::replace(std::span<const registry_change> changes, std::uint64_t revision,
                                           instant now)
{
    registry_difference difference;
    std::set<std::string_view> present;
    for (const auto& it : changes) {
        present.insert(it.key);
        apply_change(it, now, difference);
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto next = std::next(it);
        const auto key = it->first;
        if (!present.contains(it->first) && it->second.revision <= revision) {
            remove_missing(it, now, difference);
            removed_[key] = std::max(removed_[key], revision);
        }
        it = next;
    }
    std::erase_if(former_,
                  [&](const auto& it) { return !it.second.has_left || entries_.contains(it.first); });
    revision_ = std::max(revision_, revision);
    return difference;
}

registry_difference registry_view::apply(std::span<const registry_change> changes, std::uint64_t revision,
                                         instant now)
{
    registry_difference difference;
    for (const auto& it : changes) {
        apply_change(it, now, difference);
    }
    revision_ = std::max(revision_, revision);
    return difference;
}

std::vector<reported_change>
registry_view::significant_changes(std::span<const registry_change> changes) const
{
    std::map<std::string_view, const registry_change*> reported;
    for (const auto& it : changes) {
        const auto known = entries_.find(it.key);
        const auto is_new = known == entries_.end() || known->second.used_until != instant::max() ||
                            known->second.doubted != doubt::none || !is_same(known->second.item, it.item);
        // A change that follows a reported one of the same key is compared with that one, not with
        // `entries_`, so it is always reported.
        if (it.is_removed || is_new || reported.contains(it.key)) {
            reported[it.key] = &it;
        }
    }
    std::vector<reported_change> out;
    out.reserve(reported.size());
    for (const auto& [key, it] : reported) {
        out.push_back({it->key, it->revision, it->is_removed, it->value});
    }
    return out;
}

std::uint64_t registry_view::digest() const
{
    std::uint64_t out = 0;
    for (const auto& [key, it] : entries_) {
        if (it.used_until == instant::max()) {
            out = XXH64(key.data(), key.size(), out);
        }
    }
    return out;
}

void registry_view::apply_change(const registry_change& change, instant now, registry_difference& difference)
{
    const auto known = entries_.find(change.key);
    if (const auto* configuration = std::get_if<configuration_item>(&change.item)) {
        // Versions decide, since the revision of a version changes when the registry is restored.
        if (configuration_ && configuration->configuration->version() <= configuration_->version()) {
            return;
        }
        configuration_ = configuration->configuration;
        difference.has_configuration = true;
        entries_[change.key] = {change.revision, change.item, change.value, instant::max(), doubt::none};
        return;
    }
    if (is_faulty(change.item) && known != entries_.end() &&
        (std::holds_alternative<configuration_item>(known->second.item) ||
         std::holds_alternative<rollout_order>(known->second.item))) {
        // Other gateways may ask this one for the configuration in force. An order that cannot be read does
        // not end the one before it.
        return;
    }
    const auto removed = removed_.find(change.key);
    const auto newest = std::max(known == entries_.end() ? 0 : known->second.revision,
                                 removed == removed_.end() ? 0 : removed->second);
    if (change.revision <= newest) {
        return;
    }
    if (change.is_removed) {
        if (removed_.size() >= max_removals) {
            removed_.clear();
        }
        removed_[change.key] = change.revision;
        if (known != entries_.end()) {
            remove(known, now, difference);
        }
        return;
    }
    const auto doubted = doubt_of(change);
    if (revision_ != 0) {
        former_.erase(change.key);
    }
    if (known == entries_.end()) {
        entries_.emplace(change.key,
                         entry{change.revision, change.item, change.value, instant::max(), doubted});
        mark_changed(change.item, difference);
        return;
    }
    auto& it = known->second;
    if (!is_same(it.item, change.item) || it.used_until != instant::max() || it.doubted != doubted) {
        mark_changed(it.item, difference);
        mark_changed(change.item, difference);
    }
    it = {change.revision, change.item, change.value, instant::max(), doubted};
}

void registry_view::remove(std::map<std::string, entry>::iterator it, instant now,
                           registry_difference& difference)
{
    auto& [key, value] = *it;
    if (now < grace_until_ && is_ready_endpoint(value.item)) {
        value.used_until = std::min(value.used_until, grace_until_);
        return;
    }
    mark_changed(value.item, difference);
    if (const auto* block = std::get_if<signature_block>(&value.item);
        block != nullptr && value.revision != 0) {
        difference.lifted_signatures.push_back(block->signature);
    }
    entries_.erase(it);
}

void registry_view::remove_missing(std::map<std::string, entry>::iterator it, instant now,
                                   registry_difference& difference)
{
    auto& value = it->second;
    if (std::holds_alternative<configuration_item>(value.item)) {
        return;
    }
    const auto is_of_earlier_era = value.revision == 0;
    if (is_of_earlier_era && is_held_after_restore(value.item)) {
        value.used_until = std::min(value.used_until, now + out_of_service_hold);
        return;
    }
    remove(it, now, difference);
}

void registry_view::on_registry_recovered(instant at)
{
    grace_until_ = std::max(grace_until_, at + reregistration_grace);
}

void registry_view::limit_grace(instant answering_since)
{
    const auto until = answering_since + reregistration_grace;
    if (until >= grace_until_) {
        return;
    }
    grace_until_ = until;
    for (auto& [key, it] : entries_) {
        if (it.used_until != instant::max() && is_ready_endpoint(it.item)) {
            it.used_until = std::min(it.used_until, until);
        }
    }
}

duration registry_view::remaining_grace(instant now) const
{
    return std::max(duration::zero(), grace_until_ - now);
}

registry_difference registry_view::on_timer(instant now)
{
    registry_difference difference;
    std::erase_if(entries_, [&](const auto& it) {
        if (it.second.used_until > now) {
            return false;
        }
        mark_changed(it.second.item, difference);
        return true;
    });
    return difference;
}

instant registry_view::next_due() const
{
    auto out = instant::max();
    for (const auto& [key, it] : entries_) {
        out = std::min(out, it.used_until);
    }
    return out;
}

std::shared_ptr<const routing_configuration> registry_view::configuration() const
{
    return configuration_;
}

std::uint64_t registry_view::configuration_version() const
{
    return configuration_ ? configuration_->version() : 0;
}

std::vector<reported_change> registry_view::snapshot() const
{
    std::vector<reported_change> out;
    for (const auto& [key, it] : entries_) {
        if (it.used_until == instant::max()) {
            out.push_back({key, it.revision, false, it.value});
        }
    }
    return out;
}

std::vector<endpoint_record> registry_view::endpoints() const
{
    std::vector<endpoint_record> out;
    for (const auto& [key, it] : entries_) {
        const auto* endpoint = std::get_if<endpoint_item>(&it.item);
        if (endpoint == nullptr || it.doubted == doubt::had_left) {
            continue;
        }
        out.push_back(endpoint->record);
        out.back().is_draining = endpoint->record.is_draining || it.doubted == doubt::was_draining;
    }
    return out;
}

std::set<std::string, std::less<>> registry_view::out_of_service() const
{
    std::set<std::string, std::less<>> out;
    for (const auto& [key, it] : entries_) {
        if (const auto* domain = std::get_if<out_of_service_item>(&it.item)) {
            out.insert(domain->failure_domain);
        }
    }
    return out;
}

std::vector<member_item> registry_view::members() const
{
    std::vector<member_item> out;
    for (const auto& [key, it] : entries_) {
        if (const auto* member = std::get_if<member_item>(&it.item)) {
            out.push_back(*member);
        }
    }
    return out;
}

std::vector<signature_block> registry_view::signature_blocks() const
{
    std::vector<signature_block> out;
    for (const auto& [key, it] : entries_) {
        if (const auto* block = std::get_if<signature_block>(&it.item)) {
            out.push_back(*block);
        }
    }
    return out;
}

registered_rollouts registry_view::rollouts() const
{
    registered_rollouts out{{era_, revision_}, {}, {}};
    for (const auto& [key, it] : entries_) {
        if (const auto* order = std::get_if<rollout_order>(&it.item)) {
            out.orders.push_back({*order, it.revision});
        }
        if (const auto* record = std::get_if<rollout_record>(&it.item)) {
            out.records.push_back({*record, it.revision});
        }
    }
    return out;
}

void registry_view::mark_changed(const registry_item& item, registry_difference& difference)
{
    difference.has_endpoints = difference.has_endpoints || std::holds_alternative<endpoint_item>(item);
    difference.has_out_of_service =
        difference.has_out_of_service || std::holds_alternative<out_of_service_item>(item);
    difference.has_members = difference.has_members || std::holds_alternative<member_item>(item);
    difference.has_signature_blocks =
        difference.has_signature_blocks || std::holds_alternative<signature_block>(item);
    difference.has_rollouts = difference.has_rollouts || std::holds_alternative<rollout_order>(item) ||
                              std::holds_alternative<rollout_record>(item);
}

} // namespace hemlocknotch::gateway
