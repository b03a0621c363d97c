#pragma once

#include <hemlocknotch/gateway/rollout.hpp>
#include <hemlocknotch/gateway/rollout_evidence.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// What a gateway tells the others of the roll-out of one service. Complete in itself.
struct service_rollout_report {
    rollout_order order;
    rollout_position position;
    rollout_phase phase = rollout_phase::observing;
    /// Time since the order.
    duration elapsed{};
    /// Requests that the gateway has sent to the service since the order, and of these to the new version.
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    /// Requests that are open at endpoints of other versions.
    std::uint64_t open_elsewhere = 0;
    /// What the gateway itself has seen since the order.
    rollout_evidence evidence;

    friend bool operator==(const service_rollout_report&, const service_rollout_report&) = default;
};

/// What a gateway tells the others of all roll-outs.
struct rollout_report {
    std::string gateway;
    std::vector<service_rollout_report> services;

    friend bool operator==(const rollout_report&, const rollout_report&) = default;
};

} // namespace hemlocknotch::gateway
