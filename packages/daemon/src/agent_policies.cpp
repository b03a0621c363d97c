#include "agent_policies.hpp"

#include <hemlocknotch/core/adaptive_concurrency_limit.hpp>
#include <hemlocknotch/core/damped_fair_order.hpp>
#include <hemlocknotch/core/fixed_concurrency_limit.hpp>
#include <hemlocknotch/core/fleet_fair_order.hpp>
#include <hemlocknotch/core/local_fair_order.hpp>
#include <hemlocknotch/core/random_order.hpp>

#include <cassert>

namespace hemlocknotch::daemon {

std::unique_ptr<fair_order> create_fair_order(const settings& values)
{
    const auto& name = values.fair_order_name;
    if (name == "fleet") {
        return std::make_unique<fleet_fair_order>();
    }
    if (name == "local") {
        return std::make_unique<local_fair_order>();
    }
    if (name == "random") {
        return std::make_unique<random_order>();
    }
    assert(name == "damped");
    return std::make_unique<damped_fair_order>();
}

std::unique_ptr<concurrency_limit> create_concurrency_limit(const settings& values)
{
    const auto& agent = values.agent;
    if (agent.is_limit_fixed) {
        return std::make_unique<fixed_concurrency_limit>(agent.max_limit);
    }
    return std::make_unique<adaptive_concurrency_limit>(
        adaptive_limit_options{agent.initial_limit, agent.max_limit});
}

} // namespace hemlocknotch::daemon
