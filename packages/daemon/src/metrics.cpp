#include "metrics.hpp"

#include "metric_catalog.hpp"

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <limits>
#include <span>

namespace hemlocknotch::daemon {
namespace {

/// Maximum number of label values of one family. Bounds the memory and the size of the page if label values
/// come from callers or endpoints. All further label values share one sample.
constexpr std::size_t max_samples = 200;
constexpr std::string_view overflow_label_value = "other";

std::string format_number(double value)
{
    constexpr double min_fixed = 1e-6;
    constexpr double max_fixed = 1e15;
    const auto size = std::abs(value);
    const auto is_fixed = size == 0.0 || (size >= min_fixed && size <= max_fixed);
    std::array<char, 64> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value,
                                         is_fixed ? std::chars_format::fixed : std::chars_format::general);
    assert(ec == std::errc{});
    return {buf.data(), end};
}

std::string escaped_label(std::string_view value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        out += c;
    }
    return out;
}

std::string_view type_of(metric_kind kind)
{
    switch (kind) {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::histogram:
        return "histogram";
    }
    return "untyped";
}

std::string format_label(std::string_view name, std::string_view value)
{
    return std::string{name} + "=\"" + escaped_label(value) + "\"";
}

void write_line(std::string& out, std::string_view name, std::string_view suffix, std::string_view labels,
                double value)
{
    out += name;
    out += suffix;
    if (!labels.empty()) {
        out += '{';
        out += labels;
        out += '}';
    }
    out += ' ';
    out += format_number(value);
    out += '\n';
}

/// Creates a histogram with one bucket per upper bound. The buckets of the text format include their upper
/// bound, the bins of the axis do not, so each edge is the next number above the bound.
auto create_buckets(std::span<const double> bounds)
{
    std::vector<double> edges;
    for (const auto bound : bounds) {
        edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
    }
    return boost::histogram::make_histogram(boost::histogram::axis::variable<>(edges));
}

} // namespace

void metrics::record(const metric_effect& effect)
{
    auto& it = sample_of(effect.kind, effect.name, effect.label_name, effect.label_value);
    switch (effect.kind) {
    case metric_kind::counter:
        it.value += effect.value;
        break;
    case metric_kind::gauge:
        it.value = effect.value;
        break;
    case metric_kind::histogram:
        if (it.buckets.empty()) {
            it.buckets.push_back(create_buckets(bucket_bounds_of(effect.name)));
        }
        it.buckets.front()(effect.value);
        it.sum += effect.value;
        ++it.count;
        break;
    }
}

void metrics::add(std::string_view name, double value)
{
    sample_of(metric_kind::counter, name, {}, {}).value += value;
}

void metrics::add(std::string_view name, std::string_view label_name, std::string_view label_value,
                  double value)
{
    sample_of(metric_kind::counter, name, label_name, label_value).value += value;
}

void metrics::set(std::string_view name, double value)
{
    sample_of(metric_kind::gauge, name, {}, {}).value = value;
}

void metrics::set_total(std::string_view name, double value)
{
    sample_of(metric_kind::counter, name, {}, {}).value = value;
}

void metrics::set_total(std::string_view name, std::string_view label_name, std::string_view label_value,
                        double value)
{
    sample_of(metric_kind::counter, name, label_name, label_value).value = value;
}

std::string metrics::text() const
{
    std::string out;
    for (const auto& [name, it] : families_) {
        out += "# HELP " + name + " ";
        out += help_of(name);
        out += "\n# TYPE " + name + " ";
        out += type_of(it.kind);
        out += '\n';
        for (const auto& [label_value, value] : it.samples) {
            write_sample(out, name, it, label_value, value);
        }
    }
    return out;
}

metrics::sample& metrics::sample_of(metric_kind kind, std::string_view name, std::string_view label_name,
                                    std::string_view label_value)
{
    auto it = families_.find(name);
    if (it == families_.end()) {
        it = families_.emplace(std::string{name}, family{kind, std::string{label_name}, {}}).first;
    }
    assert(it->second.kind == kind);
    auto& samples = it->second.samples;
    auto found = samples.find(label_value);
    if (found == samples.end() && samples.size() >= max_samples) {
        label_value = overflow_label_value;
        found = samples.find(label_value);
    }
    if (found == samples.end()) {
        found = samples.emplace(std::string{label_value}, sample{}).first;
    }
    return found->second;
}

void metrics::write_sample(std::string& out, const std::string& name, const family& from,
                           const std::string& label_value, const sample& value)
{
    const auto labels = from.label_name.empty() ? std::string{} : format_label(from.label_name, label_value);
    if (from.kind != metric_kind::histogram) {
        write_line(out, name, "", labels, value.value);
        return;
    }
    const auto bounds = bucket_bounds_of(name);
    const auto separator = labels.empty() ? "" : ",";
    const auto& counts = value.buckets.front();
    // The bucket of the first bound is the underflow bin of the axis, at index -1.
    double below = 0.0;
    for (std::size_t n = 0; n < bounds.size(); ++n) {
        below += static_cast<double>(counts.at(static_cast<int>(n) - 1));
        write_line(out, name, "_bucket", labels + separator + format_label("le", format_number(bounds[n])),
                   below);
    }
    write_line(out, name, "_bucket", labels + separator + format_label("le", "+Inf"),
               static_cast<double>(value.count));
    write_line(out, name, "_sum", labels, value.sum);
    write_line(out, name, "_count", labels, static_cast<double>(value.count));
}

} // namespace hemlocknotch::daemon
