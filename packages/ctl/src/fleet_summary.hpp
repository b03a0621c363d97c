#pragma once

#include <hemlocknotch/core/configuration.hpp>

#include "fleet_reader.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Use of one service's agents.
struct service_use {
    std::uint64_t agents = 0;
    std::uint64_t running = 0;
    std::uint64_t limit = 0;
};

/// Spread of the weighted service that client accounts received from one service.
struct service_spread {
    /// Accounts whose counter rose since the sample before; all accounts where there is none.
    std::size_t accounts = 0;
    double lowest = 0.0;
    double highest = 0.0;
};

/// What an operator looks at first.
struct fleet_summary {
    std::size_t live = 0;
    std::size_t answering = 0;
    /// Daemons by the revision that they run.
    std::map<std::uint64_t, std::size_t> revisions;
    std::uint64_t waiting = 0;
    std::map<std::string, service_use> use;
    std::map<std::string, service_spread> spread;
};

/// Weighted service by service and client account: the highest that any daemon knows.
using fleet_counters = std::map<std::string, std::map<std::string, double>>;

/// Returns the counters of all `daemons` together.
fleet_counters merge_counters(std::span<const observed_daemon> daemons);

/// Returns the summary of `daemons`. `earlier` holds the counters of the sample before, if there was one.
fleet_summary summarize(std::span<const observed_daemon> daemons,
                        const std::optional<fleet_counters>& earlier);

/// Returns one word for the state of a daemon: `ok`, `out`, `leaving`, `draining`, `not-ready`, `no-answer`,
/// or `no-address` where the instance list does not say where its status is served.
std::string_view health_of(const observed_daemon& daemon, const configuration* current);

} // namespace hemlocknotch
