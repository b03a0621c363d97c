#pragma once

#include <hemlocknotch/core/metric_effect.hpp>

#include <boost/histogram.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlocknotch::daemon {

/// Metrics of one process, written in the Prometheus text format. Used by one thread.
class metrics {
public:
    /// Adds the value to a counter, sets a gauge or adds the value to a histogram. A name or label is created
    /// by its first value. If a metric has too many label values, later ones share the value `other`.
    void record(const metric_effect& effect);

    /// Adds `value` to the counter `name`.
    void add(std::string_view name, double value);

    /// Adds `value` to the counter `name` with one label.
    void add(std::string_view name, std::string_view label_name, std::string_view label_value, double value);

    /// Sets the gauge `name`.
    void set(std::string_view name, double value);

    /// Sets the counter `name` to a total that is counted elsewhere.
    void set_total(std::string_view name, double value);

    /// Sets the counter `name` with one label to a total that is counted elsewhere.
    void set_total(std::string_view name, std::string_view label_name, std::string_view label_value,
                   double value);

    /// Returns all metrics as text, ordered by name, each with its HELP and TYPE lines.
    [[nodiscard]] std::string text() const;

private:
    using bucket_axis = boost::histogram::axis::variable<>;
    using bucket_counts = decltype(boost::histogram::make_histogram(bucket_axis{0.0, 1.0}));

    struct sample {
        double value = 0.0;
        /// Histograms only: counts by bucket (one element, or none before the first value), sum and number of
        /// values.
        std::vector<bucket_counts> buckets;
        double sum = 0.0;
        std::uint64_t count = 0;
    };

    struct family {
        metric_kind kind = metric_kind::counter;
        std::string label_name;
        std::map<std::string, sample, std::less<>> samples;
    };

    sample& sample_of(metric_kind kind, std::string_view name, std::string_view label_name,
                      std::string_view label_value);
    static void write_sample(std::string& out, const std::string& name, const family& from,
                             const std::string& label_value, const sample& value);

    std::map<std::string, family, std::less<>> families_;
};

} // namespace hemlocknotch::daemon
