#pragma once

#include <hemlocknotch/core/request_id.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace hemlocknotch {

/// What is still known of a dispatch that is over.
enum class tombstone_kind : std::uint8_t {
    /// It was refused or resolved as never seen: it has not run and must not.
    not_run,
    /// It has run, or may have; its answer is gone.
    forgotten,
};

/// The record of a dispatch that is over. It holds for this attempt and all before it.
struct tombstone {
    tombstone_kind kind = tombstone_kind::not_run;
    std::uint32_t attempt = 0;
};

/// Ids of dispatches that must not run (again), so that copies which come late or double are told.
///
/// Memory is bounded by count and by age. What is dropped stays safe: of each entry incarnation the highest
/// sequence number among the dropped ids is kept, and an id at or below it that has no record may be a copy
/// of a dropped one. Whoever asks decides by `may_have_dropped`. Not safe for use by two threads at once.
class tombstone_set {
public:
    /// Precondition: `max_count` is at least 1 and `retention` is above zero.
    tombstone_set(std::size_t max_count, duration retention);

    /// Records that `attempt` and those before it are over. A record of a later attempt stays as it is.
    void add(const request_id& id, tombstone_kind kind, std::uint32_t attempt, instant now);

    /// Returns the record of `id`; nothing where there is none.
    [[nodiscard]] std::optional<tombstone> find(const request_id& id) const;

    /// Returns whether the record of `id` may have been dropped.
    [[nodiscard]] bool may_have_dropped(const request_id& id) const;

    /// Drops the records that are older than they are kept.
    void expire(instant now);

    /// Drops what is known of dropped ids of all entry incarnations but those `connected`. Precondition: no
    /// message of the others can still come, because all their links are closed.
    void retain_entries(const std::set<std::uint64_t>& connected);

    /// Returns the number of records.
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    struct record {
        tombstone value;
        std::uint64_t version = 0;
    };

    struct expiry_item {
        request_id id;
        std::uint64_t version = 0;
        instant expires;
    };

    void drop_oldest();

    std::size_t max_count_;
    duration retention_;
    std::uint64_t last_version_ = 0;
    std::unordered_map<request_id, record> records_;
    /// Oldest first. An item whose age is not that of its record has been replaced by a later one.
    std::deque<expiry_item> expiry_queue_;
    /// Highest dropped sequence number of each entry incarnation.
    std::unordered_map<std::uint64_t, std::uint64_t> highest_dropped_;
};

} // namespace hemlocknotch
