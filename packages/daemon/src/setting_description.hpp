#pragma once

#include "settings.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace hemlocknotch::daemon {

/// Function that returns the field of a setting in `settings`. The field's type is the setting's type.
using setting_field =
    std::variant<std::string& (*)(settings&), std::optional<endpoint_address>& (*)(settings&),
                 duration& (*)(settings&), std::size_t& (*)(settings&), std::uint32_t& (*)(settings&),
                 double& (*)(settings&), bool& (*)(settings&)>;

/// Daemons that have a setting.
enum class setting_scope : std::uint8_t { both, entry, agent };

/// Description of a setting, from which its check, its default and its line in the reference are derived.
struct setting_description {
    /// Path of the key, such as `limits.max_waiting`. Ends in the unit if the setting has one.
    std::string_view path;
    setting_scope scope = setting_scope::both;
    setting_field field;
    /// Numbers and durations only: the range, in the unit that the end of `path` names.
    double min_value = 0.0;
    double max_value = 0.0;
    /// Strings only: the allowed values, separated by `|`; empty if any string is allowed.
    std::string_view choices = {};
    bool is_required = false;
    std::string_view meaning = {};
};

/// Returns the descriptions of all settings, in the order of the reference.
std::span<const setting_description> setting_descriptions();

/// Returns whether a daemon of `role` has the setting.
bool applies_to(const setting_description& setting, process_role role);

/// Returns the name of a setting's unit, which the end of the key gives; empty if it has none.
std::string_view unit_of(const setting_description& setting);

/// Returns the allowed values as a phrase such as `a whole number from 1 to 64`.
std::string allowed_text(const setting_description& setting);

/// Returns the default in JSON, as in a settings file; `none` if the setting is required.
std::string default_text(const setting_description& setting);

} // namespace hemlocknotch::daemon
