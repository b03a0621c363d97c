#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace hemlocknotch::daemon {

class caller_connection;

/// What a caller's connection does while none of its requests is served, in the order in which such
/// connections are closed to make room.
enum class yielding_phase : std::uint8_t {
    /// It waits for the next request.
    idle,
    /// Part of a request has been received.
    receiving,
    /// Its last answer is on its way.
    closing
};

/// Connections that may be closed to make room for new ones, since no request of theirs is being served. Used
/// by one thread at a time.
class yielding_connections {
public:
    /// The connection has made progress in `phase`.
    void set(caller_connection& it, yielding_phase phase);

    /// The connection is closed, or a request of it is served.
    void remove(caller_connection& it);

    /// Returns the connection to close next: of those in the first phase that has any, the one without
    /// progress for the longest time. Null where there is none.
    [[nodiscard]] caller_connection* next() const;

private:
    struct position {
        yielding_phase phase = yielding_phase::idle;
        std::list<caller_connection*>::iterator at;
    };

    std::list<caller_connection*>& of(yielding_phase phase);

    static constexpr std::size_t phase_count = 3;
    /// By phase; the connection whose progress is oldest comes first.
    std::array<std::list<caller_connection*>, phase_count> connections_;
    std::unordered_map<caller_connection*, position> positions_;
};

} // namespace hemlocknotch::daemon
