#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Type of a metric; determines how a value is recorded.
enum class metric_kind : std::uint8_t { counter, gauge, histogram };

/// Effect of every reducer: record `value` under `name`. Names carry their unit, such as
/// `hemlocknotch_wait_seconds`.
struct metric_effect {
    metric_kind kind = metric_kind::counter;
    std::string_view name;
    /// Value of the label `label_name`; both empty for none.
    std::string_view label_name;
    std::string label_value;
    double value = 1.0;
};

} // namespace hemlocknotch
