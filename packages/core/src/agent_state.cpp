#include <hemlocknotch/core/agent_state.hpp>

#include "agent_context.hpp"
#include "agent_grants.hpp"
#include "agent_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace hemlocknotch {

agent_state::agent_state(const agent_options& options, std::unique_ptr<fair_order> order,
                         std::unique_ptr<concurrency_limit> limit)
    : context_{std::make_unique<agent_context>(options, std::move(order), std::move(limit))}
{
}

agent_state::~agent_state() = default;

std::size_t agent_state::running() const
{
    return context_->dispatches.running();
}

std::size_t agent_state::waiting() const
{
    return context_->dispatches.waiting();
}

std::size_t agent_state::ended() const
{
    return context_->dispatches.size() - running() - waiting();
}

std::uint32_t agent_state::limit() const
{
    return context_->limit->limit();
}

std::uint32_t agent_state::free_slots() const
{
    return static_cast<std::uint32_t>(std::max(0LL, agent::free_slots(*context_)));
}

std::size_t agent_state::grants() const
{
    return context_->grants.size();
}

std::size_t agent_state::links() const
{
    return context_->links.all().size();
}

std::uint64_t agent_state::revision() const
{
    return context_->tracker.revision();
}

bool agent_state::is_ready() const
{
    return context_->was_ready;
}

bool agent_state::is_draining() const
{
    return agent::is_draining(*context_);
}

const service_ledger& agent_state::ledger() const
{
    return context_->selector.ledger();
}

std::vector<account_counter> agent_state::counters() const
{
    std::vector<account_counter> found;
    const configuration_ptr& current = context_->tracker.current();
    if (!current) {
        return found;
    }
    for (const auto& [name, it] : current->client_accounts) {
        found.push_back({it.key, name, ledger().counter(it.key, it.weight)});
    }
    return found;
}

} // namespace hemlocknotch
