#pragma once

#include <hemlocknotch/core/agent_effect.hpp>
#include <hemlocknotch/core/agent_event.hpp>
#include <hemlocknotch/core/agent_options.hpp>
#include <hemlocknotch/core/concurrency_limit.hpp>
#include <hemlocknotch/core/fair_order.hpp>

#include <memory>
#include <vector>

namespace hemlocknotch {

class agent_state;

/// Makes all decisions of an agent: `reduce(event) -> effects`. Has no I/O, clock, thread or random source;
/// the same sequence of events always gives the same effects. Not safe for use by two threads at once.
class agent_reducer {
public:
    /// Creates an agent without configuration and links. Precondition: neither policy is null.
    agent_reducer(const agent_options& options, std::unique_ptr<fair_order> order,
                  std::unique_ptr<concurrency_limit> limit);
    ~agent_reducer();
    agent_reducer(agent_reducer&&) noexcept;
    agent_reducer& operator=(agent_reducer&&) noexcept;
    agent_reducer(const agent_reducer&) = delete;
    agent_reducer& operator=(const agent_reducer&) = delete;

    /// Processes one event and returns the effects to carry out, in order. Never fails: an event about an
    /// unknown link or call has no effects. Precondition: `event.now` is not before that of an earlier event.
    std::vector<agent_effect> reduce(const agent_event& event);

    /// Returns the agent's state, for status pages and tests. Valid until the next `reduce`.
    [[nodiscard]] const agent_state& state() const;

private:
    std::unique_ptr<agent_state> state_;
};

} // namespace hemlocknotch
