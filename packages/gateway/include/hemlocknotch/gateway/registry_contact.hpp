#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <optional>

namespace hemlocknotch::gateway {

/// What one gateway knows of the times at which the registry has answered anyone: by its own reads and by
/// what others state of theirs. Tells an outage of the registry from a cut of this gateway.
///
/// An outage is only what this gateway saw itself: nobody that it heard of had an answer meanwhile. What
/// others state can show that there was none, or that it ended earlier, and never more than that.
///
/// Used by one thread at a time.
class registry_contact {
public:
    /// Failures for at least this time count as an outage, after which registrations may have expired. What a
    /// gateway states is compared with what another one knows within the same time.
    static constexpr duration outage_threshold = std::chrono::milliseconds{500};

    /// Longest time that a read of the registry takes which is answered.
    static constexpr duration longest_read = std::chrono::milliseconds{1500};

    /// `max_silence` is the longest time in which a gateway that lacks nothing hears of no answer of the
    /// registry. Nothing is known of the time before `now`.
    registry_contact(duration max_silence, instant now);

    /// Begins anew at `now`, since the registry has been restored meanwhile.
    void begin(instant now);

    /// Records that a read of this gateway, requested at `requested_at`, was answered at `now`.
    /// `failed_since` is the time of the first failed one before it; `instant::max()`: none. Returns whether
    /// an outage has ended that this gateway saw itself.
    bool note_read(instant failed_since, instant requested_at, instant now);

    /// Records that another gateway states that the registry has answered from `since` until `as_of` without
    /// a gap. `has_seen_outage`: reads of either one failed before. Returns whether an outage has ended that
    /// this gateway saw itself: it heard of no answer for `max_silence`.
    bool note_statement(instant since, instant as_of, bool has_seen_outage);

    /// Returns whether this gateway knows of answers, without a gap, from well before `since` on until after
    /// it. Then another gateway for which they begin at `since` was out of touch itself.
    [[nodiscard]] bool can_rebut(instant since) const;

    /// Returns the time from which on the registry is known to have answered without a gap.
    [[nodiscard]] instant answering_since() const { return since_; }

private:
    duration max_silence_;
    instant since_;
    /// Time of the latest answer that is known; nothing: none.
    std::optional<instant> latest_;
};

} // namespace hemlocknotch::gateway
