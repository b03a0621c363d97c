#pragma once

#include <hemlocknotch/core/time.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Notes on streams in the platform's store, from which gateways that start after all others were killed
/// learn at which software versions streams may go on. The store removes them by itself. Each callback is
/// called once, after the call has returned, on the event loop's thread, and never after the store is
/// destroyed.
class stream_note_store {
public:
    virtual ~stream_note_store() = default;

    /// Writes the note `name`, which the store removes after `time_to_live`. `done` is told whether it was
    /// written.
    virtual void write_note(std::string_view name, std::string value, duration time_to_live,
                            std::function<void(bool)> done) = 0;

    /// Reads the values of all notes. `done` is given nothing if that failed.
    virtual void read_notes(std::function<void(std::optional<std::vector<std::string>>)> done) = 0;
};

} // namespace hemlocknotch::gateway
