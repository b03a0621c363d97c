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

/// What is known of a dispatch that is over.
enum class tombstone_kind : std::uint8_t {
    /// It was refused or resolved as never seen: it has not run and must not run.
    not_run,
    /// It has run or may have run, and its answer is no longer available.
    forgotten,
};

/// The record of a dispatch that is over. It applies to `attempt` and all earlier attempts.
struct tombstone {
    tombstone_kind kind = tombstone_kind::not_run;
    std::uint32_t attempt = 0;
};

/// Ids of dispatches that must not run, or not run again. Late and duplicate messages are recognised by them.
///
/// Memory is bounded by the number of records and by their age. To stay safe after records were dropped, the
/// set keeps, for each entry incarnation, the highest sequence number among the dropped ids: an id at or
/// below that number without a record may be a duplicate of a dropped one. Callers check this with
/// `may_have_dropped`. Not safe for use by two threads at once.
class tombstone_set {
public:
    /// Precondition: `max_count` is at least 1 and `retention`, the time for which a record is kept, is above
    /// zero.
    tombstone_set(std::size_t max_count, duration retention);

    /// Records that `attempt` and all earlier attempts are over. A record of a later attempt stays unchanged.
    void add(const request_id& id, tombstone_kind kind, std::uint32_t attempt, instant now);

    /// Returns the record of `id`; nothing if there is none.
    [[nodiscard]] std::optional<tombstone> find(const request_id& id) const;

    /// Returns whether there is no record of `id` and one may have been dropped.
    [[nodiscard]] bool may_have_dropped(const request_id& id) const;

    /// Drops the records whose retention time has passed.
    void expire(instant now);

    /// Discards the highest dropped sequence numbers of all entry incarnations but those in `connected`.
    /// Precondition: no message of the other entry incarnations can still arrive, because all their links are
    /// closed.
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
    /// Oldest first. An item whose version differs from that of its record has been replaced by a later item.
    std::deque<expiry_item> expiry_queue_;
    /// Highest dropped sequence number of each entry incarnation.
    std::unordered_map<std::uint64_t, std::uint64_t> highest_dropped_;
};

} // namespace hemlocknotch
