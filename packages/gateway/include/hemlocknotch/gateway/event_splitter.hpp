#pragma once

#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Cuts the body of an event stream (HTML Living Standard, "Server-sent events") into whole events, so that a
/// torn one is never passed on. Used by one thread at a time.
class event_splitter {
public:
    /// Takes the next bytes of the body and returns the whole events that are complete with them, as they
    /// came. The result is valid until the next call.
    std::string_view append(std::string_view bytes);

    /// Returns the id of the last whole event that had one; empty where none had.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }

    /// Returns whether bytes of an incomplete event are held.
    [[nodiscard]] bool has_remainder() const { return !held_.empty(); }

    /// Drops the bytes of an incomplete event; what comes next begins a new one.
    void drop_remainder() { held_.clear(); }

private:
    void note_ids(std::string_view events);

    std::string held_;
    std::string whole_;
    std::string last_id_;
};

} // namespace hemlocknotch::gateway
