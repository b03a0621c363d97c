#pragma once

#include <span>
#include <string_view>

namespace hemlocknotch::daemon {

/// Meaning of one metric.
struct metric_description {
    std::string_view name;
    std::string_view help;
};

/// Returns the meaning of every metric that the daemons write, by name.
std::span<const metric_description> metric_descriptions();

/// Returns the HELP text of `name`; a general sentence where the catalog does not have it.
std::string_view help_of(std::string_view name);

/// Returns the upper bounds of the buckets of the histogram `name`, which follow from its unit, in rising
/// order.
std::span<const double> bucket_bounds_of(std::string_view name);

} // namespace hemlocknotch::daemon
