#include "setting_description.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <type_traits>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

struct unit_suffix {
    std::string_view suffix;
    std::string_view unit;
};

constexpr std::array unit_suffixes{unit_suffix{"_ms", "milliseconds"}, unit_suffix{"_bytes", "bytes"}};

template <class Field>
using field_type = std::remove_cvref_t<std::invoke_result_t<Field, settings&>>;

std::string format_number(double value)
{
    return value == static_cast<double>(static_cast<std::int64_t>(value))
               ? std::to_string(static_cast<std::int64_t>(value))
               : nlohmann::json(value).dump();
}

std::string range_text(std::string_view kind, const setting_description& setting)
{
    return std::string{kind} + " from " + format_number(setting.min_value) + " to " +
           format_number(setting.max_value);
}

std::string format_value(const std::string& value)
{
    return nlohmann::json(value).dump();
}

std::string format_value(const std::optional<endpoint_address>& value)
{
    return value ? nlohmann::json(value->to_string()).dump() : "none";
}

std::string format_value(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string format_value(bool value)
{
    return value ? "true" : "false";
}

std::string format_value(double value)
{
    return format_number(value);
}

template <class Integer>

requires std::is_integral_v<Integer> std::string format_value(Integer value)
{
    return std::to_string(value);
}

} // namespace

bool applies_to(const setting_description& setting, process_role role)
{
    switch (setting.scope) {
    case setting_scope::both:
        return true;
    case setting_scope::entry:
        return role == process_role::entry;
    case setting_scope::agent:
        return role == process_role::agent;
    }
    return false;
}

std::string_view unit_of(const setting_description& setting)
{
    const auto* it =
        std::ranges::find_if(unit_suffixes, [&](const auto& u) { return setting.path.ends_with(u.suffix); });
    return it == unit_suffixes.end() ? std::string_view{} : it->unit;
}

std::string allowed_text(const setting_description& setting)
{
    return std::visit(
        [&](auto field) -> std::string {
            using type = field_type<decltype(field)>;
            if constexpr (std::is_same_v<type, std::string>) {
                if (setting.choices.empty()) {
                    return "a string";
                }
                std::string out{setting.choices};
                for (auto at = out.find('|'); at != std::string::npos; at = out.find('|')) {
                    out.replace(at, 1, " or ");
                }
                return out;
            }
            else if constexpr (std::is_same_v<type, std::optional<endpoint_address>>) {
                return "a numeric IP address and a port, such as \"127.0.0.1:8080\" or \"[::1]:8080\"";
            }
            else if constexpr (std::is_same_v<type, bool>) {
                return "true or false";
            }
            else if constexpr (std::is_same_v<type, double>) {
                return range_text("a number", setting);
            }
            else {
                return range_text("a whole number", setting);
            }
        },
        setting.field);
}

std::string default_text(const setting_description& setting)
{
    if (setting.is_required) {
        return "none";
    }
    settings defaults;
    return std::visit([&](auto field) { return format_value(field(defaults)); }, setting.field);
}

} // namespace hemlocknotch::daemon
