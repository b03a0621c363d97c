#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/affinity_placement.hpp>

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
    /// Where callers connect.
    std::optional<endpoint_address> callers;
    /// Where the balancer asks for readiness.
    std::optional<endpoint_address> readiness;
    /// Where other gateways send datagrams; absent: no exchange with others.
    std::optional<endpoint_address> members;
    /// Where other gateways read the registry while it is away; absent: nowhere.
    std::optional<endpoint_address> registry;
    /// Where metrics are read; absent: nowhere.
    std::optional<endpoint_address> metrics;
    /// The platform's store.
    std::optional<endpoint_address> store;
    /// Where other gateways may be found while the store is away.
    std::vector<endpoint_address> seeds;
    /// Descriptors that this process may have.
    std::size_t descriptors = 1024;
    /// Time between the request to stop and the end by force.
    duration stop_grace = std::chrono::seconds{8};
    /// Time within which a leaving endpoint, or a configuration, is to be heeded.
    duration drain_bound = std::chrono::seconds{2};
    duration configuration_bound = std::chrono::seconds{2};
    /// Bound on retries over the whole fleet.
    double retry_ratio = 0.2;
    double retry_reserve = 50.0;
    /// Where model requests go, and how much an endpoint is sent.
    gateway::affinity_options placement;
    /// Part of a route's objective for which a model request may wait, within its account's fair share and
    /// beyond.
    double wait_share = 0.5;
    double excess_wait_share = 0.0;
    /// Part of the tokens that the operators state up to which accounts get their fair shares.
    double share_capacity = 1.25;
    /// What the endpoints do at present is taken to be so many times what they were given of late.
    double present_headroom = 1.15;
};

/// What reading a settings file gave.
struct gateway_settings_result {
    std::optional<gateway_settings> accepted;
    /// One line for each fault, with its place and what to do. Empty where the settings were accepted.
    std::vector<std::string> errors;
};

/// Reads settings from JSON with comments. Fields that are not known are ignored. Thread-safe.
gateway_settings_result read_gateway_settings(std::string_view text);

} // namespace hemlocknotch::daemon
