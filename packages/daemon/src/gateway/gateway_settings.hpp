#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/affinity_placement.hpp>
#include <hemlocknotch/gateway/memory_budget.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Settings of one gateway.
struct gateway_settings {
    std::string instance;
    std::string failure_domain;
    /// Listens for callers. Required.
    std::optional<endpoint_address> callers;
    /// Listens for the load balancer's readiness checks. Required.
    std::optional<endpoint_address> readiness;
    /// Listens for datagrams of other gateways; absent: no exchange with them.
    std::optional<endpoint_address> members;
    /// Serves this gateway's view of the registry to other gateways while the store is unavailable; absent:
    /// not served.
    std::optional<endpoint_address> registry;
    /// Serves metrics; absent: not served.
    std::optional<endpoint_address> metrics;
    /// Address of the platform's store. Required.
    std::optional<endpoint_address> store;
    /// Addresses at which other gateways may serve the registry while the store is unavailable.
    std::vector<endpoint_address> seeds;
    /// File descriptors that this process may open.
    std::size_t descriptors = 1024;
    /// Memory of the instance, in bytes.
    std::size_t memory = gateway::memory_budget::default_instance_bytes;
    /// Time between the request to stop and the forced end of the process.
    duration stop_grace = std::chrono::seconds{8};
    /// Time within which a draining or removed endpoint must get no more requests, and time within which a
    /// new configuration must take effect.
    duration drain_bound = std::chrono::seconds{2};
    duration configuration_bound = std::chrono::seconds{2};
    /// Bound on retries over the whole fleet: retries for each request, and a fixed reserve beside them.
    double retry_ratio = 0.2;
    double retry_reserve = 50.0;
    /// Share of a service's requests that a new software version may get before it is known to be good.
    double exposure_share = 0.1;
    /// Placement of model requests and limits of what an endpoint is sent.
    gateway::affinity_options placement;
    /// Time that a model request may wait in the queue, as a part of its route's latency objective: within
    /// its account's fair share, and beyond it.
    double wait_share = 0.5;
    double excess_wait_share = 0.0;
    /// Capacity that accounts' fair shares are computed from, as a multiple of the configured tokens per
    /// second.
    double share_capacity = 1.25;
    /// Factor by which the present capacity of the endpoints is taken to exceed what they were recently
    /// served.
    double present_headroom = 1.15;
};

/// Result of parsing a settings file.
struct gateway_settings_parse_result {
    std::optional<gateway_settings> accepted;
    /// One line for each error, with the path of the field and the remedy. Empty where the settings were
    /// accepted.
    std::vector<std::string> errors;
};

/// Parses settings from JSON with comments. Unknown fields are ignored. Thread-safe.
gateway_settings_parse_result parse_gateway_settings(std::string_view text);

} // namespace hemlocknotch::daemon
