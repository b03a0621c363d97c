#pragma once

#include <hemlocknotch/gateway/share_meter.hpp>
#include <hemlocknotch/gateway/signature_report.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// Load of one gateway at one endpoint.
struct endpoint_report {
    std::string instance;
    /// Prompt tokens sent and not yet read.
    double pending_tokens = 0.0;
    /// Requests sent that have not ended.
    unsigned running = 0;
    /// Recent rate of prompt tokens sent, per second.
    double tokens_per_second = 0.0;
};

/// Requested and served rates of one client account at one gateway.
struct account_report {
    std::string service;
    std::string account;
    account_rates rates;
};

/// Limit of requests that an endpoint stated in an answer to the reporting gateway.
struct limit_report {
    std::string instance;
    /// 0: the answer stated none any more.
    double requests_per_second = 0.0;
    /// Time since the answer.
    duration age{};
};

/// Endpoint that stated in an answer to the reporting gateway that it leaves.
struct leaving_report {
    std::string instance;
    std::uint64_t started_at_ms = 0;
};

/// Endpoint that told the reporting gateway that it wants no requests for a time.
struct pause_report {
    std::string instance;
    duration remaining{};
};

/// State that a gateway reports to the others at short intervals. Each report is complete in itself, so that
/// a lost one does no harm.
struct fleet_report {
    /// Name of the gateway.
    std::string gateway;
    /// Random number, drawn at each start of the process.
    std::uint64_t incarnation = 0;
    /// Increases with each report of one incarnation; reports with a lower number are ignored.
    std::uint64_t sequence = 0;
    std::vector<endpoint_report> endpoints;
    std::vector<account_report> accounts;
    signature_reports signatures;
    std::vector<limit_report> limits;
    std::vector<leaving_report> leaving;
    std::vector<pause_report> pauses;
    /// Version of the configuration in force; 0: none.
    std::uint64_t configuration_version = 0;
};

/// Returns the time between two reports of a gateway that sends them to `others` gateways. Thread-safe.
duration report_interval(std::size_t others);

} // namespace hemlocknotch::gateway
