#include "fleet_nodes.hpp"

#include <cassert>
#include <chrono>

namespace hemlocknotch::gateway::model {
namespace {

/// Time after which reading a shared part again no longer counts as a repeated read.
constexpr duration repeated_read_window = std::chrono::seconds{10};

} // namespace

void fleet_model::engine_node::on_part_read(const prompt_part& part)
{
    auto& used_at = fleet_.part_used_at_[part.id];
    const auto now = fleet_.events_.now();
    const auto tokens = static_cast<double>(part.tokens);
    fleet_.figures_.tokens_read += tokens;
    if (used_at != instant{} && now - used_at < repeated_read_window) {
        fleet_.figures_.tokens_read_again += tokens;
    }
    used_at = now;
}

void fleet_model::engine_node::on_event(std::uint64_t job, bool is_last)
{
    const auto found = calls.find(job);
    if (found == calls.end()) {
        return;
    }
    auto& it = found->second;
    const auto n = ++it.events;
    if (n == 1) {
        fleet_.figures_.profiles[it.profile].tokens_begun += it.cost;
        fleet_.figures_.accounts[it.account].tokens_begun += it.cost;
        fleet_.second_of(it.account, fleet_.events_.now()).tokens_begun += it.cost;
    }
    auto* gateway = it.gateway;
    gateway->after_link([gateway, call = it.call, n, is_last] { gateway->handle_event(call, n, is_last); });
    if (is_last) {
        calls.erase(found);
    }
}

void fleet_model::engine_node::on_rejected(std::uint64_t job)
{
    const auto found = calls.find(job);
    assert(found != calls.end());
    auto* gateway = found->second.gateway;
    gateway->after_link([gateway, call = found->second.call] { gateway->handle_rejection(call); });
    calls.erase(found);
}

} // namespace hemlocknotch::gateway::model
