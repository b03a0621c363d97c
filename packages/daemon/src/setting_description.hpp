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

/// Where a setting is kept; its type is the setting's type.
using setting_field =
    std::variant<std::string& (*)(settings&), std::optional<endpoint_address>& (*)(settings&),
                 duration& (*)(settings&), std::size_t& (*)(settings&), std::uint32_t& (*)(settings&),
                 double& (*)(settings&), bool& (*)(settings&)>;

/// Which daemons have a setting.
enum class setting_scope : std::uint8_t { both, entry, agent };

/// One setting, as its check, its default, the reference and the documents know it.
struct setting_description {
    /// Path of the key, such as `limits.max_waiting`. Its last part ends in the unit where there is one.
    std::string_view path;
    setting_scope scope = setting_scope::both;
    setting_field field;
    /// Numbers and times only: the range, in the unit that the key ends in.
    double least = 0.0;
    double most = 0.0;
    /// Texts only: the allowed values, separated by `|`; empty where any text will do.
    std::string_view choices = {};
    bool is_required = false;
    std::string_view meaning = {};
};

/// Returns all settings, in the order of the reference.
std::span<const setting_description> setting_descriptions();

/// Returns whether a daemon of `role` has the setting.
bool applies_to(const setting_description& setting, process_role role);

/// Returns the unit of a setting in words, from the end of its key; empty where it has none.
std::string_view unit_of(const setting_description& setting);

/// Returns what is allowed, as a phrase such as `a whole number from 1 to 64`.
std::string allowed_text(const setting_description& setting);

/// Returns the default as it would stand in a settings file; `none` where the setting is required.
std::string default_text(const setting_description& setting);

} // namespace hemlocknotch::daemon
