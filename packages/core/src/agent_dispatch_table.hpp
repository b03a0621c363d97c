#pragma once

#include <hemlocknotch/core/link_id.hpp>
#include <hemlocknotch/core/request_id.hpp>

#include "agent_dispatch.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace hemlocknotch {

/// The dispatches that an agent has accepted and not removed yet: those that wait or run, and those that have
/// ended and whose answers are retained. Not safe for use by two threads at once.
class agent_dispatch_table {
public:
    /// Adds a waiting dispatch and returns it. Precondition: its id is not in the table.
    agent_dispatch& add(agent_dispatch value);

    /// Returns the dispatch, or null if there is none. Valid until it is removed.
    [[nodiscard]] agent_dispatch* find(const request_id& id);

    /// Returns the dispatch of a call in progress, or null if there is none.
    [[nodiscard]] agent_dispatch* find_call(call_id call);

    /// Returns the dispatch that has waited longest, or null if none waits.
    [[nodiscard]] agent_dispatch* first_waiting();

    /// Moves a dispatch from waiting to running. Precondition: the dispatch is waiting.
    void set_running(agent_dispatch& value, instant now);

    /// Assigns a new call number to a dispatch and returns it. A call in progress is removed. Precondition:
    /// the dispatch is running.
    call_id begin_call(agent_dispatch& value, std::uint64_t offset, instant now);

    /// Removes the call of a dispatch, so that `find_call` no longer finds it for later events of that call.
    void end_call(agent_dispatch& value);

    /// Moves a dispatch from running to ended and removes its call. Precondition: the dispatch is running.
    void set_ended(agent_dispatch& value, instant now);

    /// Removes a dispatch. Preconditions: the dispatch is in the table and has no call in progress.
    void remove(const request_id& id);

    /// Returns the ids of all dispatches for which `is_wanted(dispatch)` is true.
    template <class Predicate>
    [[nodiscard]] std::vector<request_id> select(Predicate is_wanted) const
    {
        std::vector<request_id> found;
        for (const auto& [id, it] : dispatches_) {
            if (is_wanted(it)) {
                found.push_back(id);
            }
        }
        return found;
    }

    /// Returns the number of dispatches that wait for a slot.
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

    /// Returns the number of dispatches that occupy a slot.
    [[nodiscard]] std::size_t running() const { return running_; }

    /// Returns the number of all dispatches in the table.
    [[nodiscard]] std::size_t size() const { return dispatches_.size(); }

private:
    std::map<request_id, agent_dispatch> dispatches_;
    std::unordered_map<call_id, request_id> calls_;
    std::deque<request_id> waiting_;
    std::size_t running_ = 0;
    call_id last_call_ = 0;
};

} // namespace hemlocknotch
