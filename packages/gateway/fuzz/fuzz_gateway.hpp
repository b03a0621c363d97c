#pragma once

#include "fuzz_fleet.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hemlocknotch::gateway {

/// One of the gateways, with what endpoints and callers have seen of it.
struct fuzz_fleet::gateway_state {
    explicit gateway_state(fuzz_fleet& fleet);
    ~gateway_state();
    gateway_state(const gateway_state&) = delete;
    gateway_state(gateway_state&&) = delete;
    gateway_state& operator=(const gateway_state&) = delete;
    gateway_state& operator=(gateway_state&&) = delete;

    std::string name;
    std::unique_ptr<router_port> effects;
    std::unique_ptr<router> decisions;
    std::map<exchange_id, request_oracle> requests;
    std::map<call_id, open_call> calls;
    std::map<std::string, unsigned> attempts;
    std::uint64_t sequence = 0;

    /// Time in which an endpoint wants no requests.
    struct pause {
        std::uint64_t started_at_ms = 0;
        instant from;
        instant until;
        unsigned requests = 0;
    };

    std::map<std::string, pause> pauses;
    /// When it ends; empty unless it stops.
    std::optional<instant> stops_at;
    /// Start times of endpoints that told this gateway that they leave.
    std::map<std::string, std::uint64_t> left;
};

} // namespace hemlocknotch::gateway
