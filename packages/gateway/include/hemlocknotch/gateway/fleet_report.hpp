#pragma once

#include <hemlocknotch/gateway/share_meter.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// What one gateway has at one endpoint.
struct endpoint_report {
    std::string instance;
    /// Prompt tokens sent and not yet read.
    double pending_tokens = 0.0;
    /// Requests sent and not ended.
    unsigned running = 0;
    /// Prompt tokens sent in a second, of late.
    double tokens_per_second = 0.0;
};

/// What one client account has asked of one gateway, and been given by it.
struct account_report {
    std::string service;
    std::string account;
    account_rates rates;
};

/// What a gateway tells the others at short intervals. Each report stands for itself, so that lost ones do no
/// harm.
struct fleet_report {
    /// Name of the gateway.
    std::string gateway;
    /// Drawn anew at each start of the process.
    std::uint64_t incarnation = 0;
    /// Grows with each report of one incarnation; older ones are ignored.
    std::uint64_t sequence = 0;
    std::vector<endpoint_report> endpoints;
    std::vector<account_report> accounts;
};

/// Returns the time between two reports of a gateway that tells `others` gateways. Thread-safe.
duration report_interval(std::size_t others);

} // namespace hemlocknotch::gateway
