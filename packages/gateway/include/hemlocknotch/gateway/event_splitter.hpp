#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Splits the body of an event stream (HTML Living Standard, "Server-sent events") into complete events, so
/// that an incomplete one is never passed on. Used by one thread at a time.
class event_splitter {
public:
    /// Maximum size of one event. The text of a few hundred tokens is a hundredth of it.
    static constexpr std::size_t max_event_bytes = std::size_t{256} << 10U;

    /// Appends the next bytes of the body and returns the events that they complete, unchanged. The result is
    /// valid until the next call.
    std::string_view append(std::string_view bytes);

    /// Returns the id of the last complete event that had one; empty if none had.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }

    /// Returns whether bytes of an incomplete event are held.
    [[nodiscard]] bool has_remainder() const { return !held_.empty(); }

    /// Returns the number of bytes of memory that events take up.
    [[nodiscard]] std::size_t held_bytes() const
    {
        return held_.empty() && complete_.empty() ? 0 : held_.capacity() + complete_.capacity();
    }

    /// Returns whether the incomplete event is larger than any event may be.
    [[nodiscard]] bool is_event_too_large() const { return held_.size() > max_event_bytes; }

    /// Discards the bytes of an incomplete event. The next bytes are those of another answer, which is to
    /// continue after `last_id`.
    void begin_continuation();

    /// Returns whether the answer that was to continue the stream has sent an event that does not come after
    /// the earlier ones, or has data and no id, so that nothing shows that it does. Ids that are no numbers
    /// are not compared.
    [[nodiscard]] bool is_not_continued() const { return is_not_continued_; }

private:
    void note_ids(std::string_view events);
    /// Returns false where the event with this id does not continue the stream.
    bool note_id(std::string_view id);

    std::string held_;
    std::string complete_;
    std::string last_id_;
    /// Whether the next event with an id is the first one of a continuation.
    bool is_continuing_ = false;
    bool is_not_continued_ = false;
};

} // namespace hemlocknotch::gateway
