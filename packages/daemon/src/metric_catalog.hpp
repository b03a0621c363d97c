#pragma once

#include <span>
#include <string_view>

namespace hemlocknotch::daemon {

/// Name and HELP text of a metric.
struct metric_description {
    std::string_view name;
    std::string_view help;
};

/// Returns the descriptions of all metrics that the daemons write.
std::span<const metric_description> metric_descriptions();

/// Returns the HELP text of `name`, or a general sentence if the catalog does not contain it.
std::string_view help_of(std::string_view name);

/// Returns the upper bounds of the buckets of the histogram `name` in ascending order. They depend on the
/// unit at the end of the name.
std::span<const double> bucket_bounds_of(std::string_view name);

} // namespace hemlocknotch::daemon
