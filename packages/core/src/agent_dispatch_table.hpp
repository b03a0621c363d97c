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

/// The dispatches that an agent has accepted and whose answers it still keeps. Not safe for use by two
/// threads at once.
class agent_dispatch_table {
public:
    /// Adds a waiting dispatch and returns it. Precondition: its id is not in the table.
    agent_dispatch& add(agent_dispatch value);

    /// Returns the dispatch, or null where there is none. Valid until it is removed.
    [[nodiscard]] agent_dispatch* find(const request_id& id);

    /// Returns the dispatch of a call in progress, or null where there is none.
    [[nodiscard]] agent_dispatch* find_call(call_id call);

    /// Returns the dispatch that has waited longest, or null where none waits.
    [[nodiscard]] agent_dispatch* first_waiting();

    /// Moves a dispatch from waiting to running. Precondition: it waits.
    void set_running(agent_dispatch& value, instant now);

    /// Gives a dispatch a new call number and returns it. Precondition: it runs.
    call_id begin_call(agent_dispatch& value, std::uint64_t offset, instant now);

    /// Forgets the call of a dispatch, so that later events of it are not found.
    void end_call(agent_dispatch& value);

    /// Moves a dispatch from running to ended.
    void set_ended(agent_dispatch& value, instant now);

    /// Removes a dispatch. Its call must have been ended.
    void remove(const request_id& id);

    /// Returns the ids of all dispatches for which `is_wanted(dispatch)`.
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

    /// Returns the number of dispatches that wait for a place.
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

    /// Returns the number of dispatches that hold a place.
    [[nodiscard]] std::size_t running() const { return running_; }

    /// Returns the number of all dispatches kept.
    [[nodiscard]] std::size_t size() const { return dispatches_.size(); }

private:
    std::map<request_id, agent_dispatch> dispatches_;
    std::unordered_map<call_id, request_id> calls_;
    std::deque<request_id> waiting_;
    std::size_t running_ = 0;
    call_id last_call_ = 0;
};

} // namespace hemlocknotch
