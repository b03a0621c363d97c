#pragma once

#include <hemlocknotch/standins/trace_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::standins {

/// How the costs of a kind of work are spread: lognormal, cut off.
struct profile_mix {
    std::string profile;
    /// Share of the service's requests.
    double share = 0.0;
    double median_cost = 1.0;
    double sigma = 0.0;
    double max_cost = 1.0;
    bool is_idempotent = true;
    /// Share of the requests that carry an idempotency key.
    double key_share = 0.0;
    double median_size = 200.0;
};

/// One client account and its part of the demand.
struct account_mix {
    std::string account;
    double weight = 1.0;
};

/// Who asks one deployment for what.
struct deployment_mix {
    std::string name;
    std::vector<account_mix> accounts;
    /// Work of the model service, and units of it that a warm fleet yields a second.
    std::vector<profile_mix> model_work;
    double model_units_per_second = 0.0;
    /// Work of the plain service, and requests a second in all.
    std::vector<profile_mix> plain_work;
    double plain_requests_per_second = 0.0;
};

/// Returns the mix of the deployment `name` (`saadruil` or `fassregister`), or nothing.
std::optional<deployment_mix> find_deployment(std::string_view name);

struct trace_options {
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds{60};
    /// Demand for the model service as a multiple of what a warm fleet yields; each account asks by its
    /// weight.
    double load = 1.3;
    /// Demand of so much time stands at the trace's begin, so that accounts are backlogged from there.
    duration head_start{};
    /// Account whose demand is multiplied by `flood_factor`; empty for none.
    std::string flood_account;
    double flood_factor = 1.0;
};

/// Draws a trace: Poisson arrivals for each account, costs and sizes lognormal, hints off by a lognormal
/// factor. The same mix and options give the same trace.
std::vector<trace_record> generate_trace(const deployment_mix& mix, const trace_options& options);

} // namespace hemlocknotch::standins
