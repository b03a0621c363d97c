#pragma once

#include <hemlocknotch/core/entry_effect.hpp>
#include <hemlocknotch/core/entry_event.hpp>
#include <hemlocknotch/core/entry_options.hpp>

#include <memory>
#include <vector>

namespace hemlocknotch {

class entry_state;

/// Makes all decisions of an entry process, which accepts the requests of callers and dispatches them to
/// agents: `reduce(event) -> effects`. Has no I/O, clock, thread or random source;
/// the same events always give the same effects. Not thread-safe.
class entry_reducer {
public:
    /// Creates the state of an entry process that has no configuration, members or links yet. Never fails.
    explicit entry_reducer(const entry_options& options);
    ~entry_reducer();
    entry_reducer(entry_reducer&&) noexcept;
    entry_reducer& operator=(entry_reducer&&) noexcept;
    entry_reducer(const entry_reducer&) = delete;
    entry_reducer& operator=(const entry_reducer&) = delete;

    /// Handles one event and returns its effects in the order in which to carry them out. Never fails: an
    /// event that refers to an unknown object has no effects. Precondition: `event.now` is not before that of
    /// an earlier event.
    std::vector<entry_effect> reduce(const entry_event& event);

    /// Returns the entry's state, for status pages and tests. Valid until the next `reduce`.
    [[nodiscard]] const entry_state& state() const;

private:
    std::unique_ptr<entry_state> state_;
};

} // namespace hemlocknotch
