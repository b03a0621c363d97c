#pragma once

#include <hemlocknotch/standins/load_outcome.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <vector>

namespace hemlocknotch::standins {

/// What the plain services' own record says of the verdicts that callers received.
struct execution_findings {
    /// Bookings that ran more than once.
    std::size_t double_runs = 0;
    /// Requests with verdict `not-run` that ran.
    std::size_t false_not_run = 0;
    /// Requests with verdict `ran` that did not run.
    std::size_t false_ran = 0;
};

/// Compares `records` with the pages `/bookings` of all plain services.
execution_findings check_executions(const std::vector<load_record>& records,
                                    const std::vector<nlohmann::json>& booking_pages);

} // namespace hemlocknotch::standins
