#include <hemlocknotch/core/agent_state.hpp>

#include "agent_grants.hpp"
#include "agent_lifecycle.hpp"
#include "agent_parts.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch {

agent_state::agent_state(const agent_options& options, std::unique_ptr<fair_order> order,
                         std::unique_ptr<concurrency_limit> limit)
    : parts_{std::make_unique<agent_parts>(options, std::move(order), std::move(limit))}
{
}

agent_state::~agent_state() = default;

std::size_t agent_state::running() const
{
    return parts_->dispatches.running();
}

std::size_t agent_state::waiting() const
{
    return parts_->dispatches.waiting();
}

std::size_t agent_state::ended() const
{
    return parts_->dispatches.size() - running() - waiting();
}

std::uint32_t agent_state::limit() const
{
    return parts_->limit->limit();
}

std::uint32_t agent_state::free_slots() const
{
    return static_cast<std::uint32_t>(std::max(0LL, agent::free_places(*parts_)));
}

std::size_t agent_state::grants() const
{
    return parts_->grants.size();
}

std::size_t agent_state::links() const
{
    return parts_->links.all().size();
}

std::uint64_t agent_state::revision() const
{
    return parts_->tracker.revision();
}

bool agent_state::is_ready() const
{
    return parts_->was_ready;
}

bool agent_state::is_draining() const
{
    return agent::is_draining(*parts_);
}

const service_ledger& agent_state::ledger() const
{
    return parts_->selector.ledger();
}

std::vector<account_counter> agent_state::counters() const
{
    std::vector<account_counter> found;
    const configuration_ptr& current = parts_->tracker.current();
    if (!current) {
        return found;
    }
    for (const auto& [name, it] : current->client_accounts) {
        found.push_back({it.key, name, ledger().counter(it.key, it.weight)});
    }
    return found;
}

} // namespace hemlocknotch
