#include <hemlocknotch/coordination/object_reader.hpp>

#include <cassert>
#include <cmath>
#include <limits>
#include <sstream>
#include <utility>

namespace hemlocknotch {
namespace {

using nlohmann::json;

std::string write_number(double value)
{
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::max_digits10 - 2);
    out << value;
    return out.str();
}

std::string list_of(std::span<const std::string_view> choices)
{
    std::string text = "one of ";
    for (std::size_t n = 0; n < choices.size(); ++n) {
        text += (n == 0 ? "\"" : ", \"") + std::string{choices[n]} + "\"";
    }
    return text;
}

} // namespace

std::string describe(const json& value)
{
    constexpr std::size_t max_length = 60;
    const std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    return text.size() <= max_length ? text : text.substr(0, max_length) + "...";
}

object_reader::object_reader(const json& value, std::string path, std::vector<document_error>& errors)
    : value_{value}, path_{std::move(path)}, errors_{errors}, is_object_{value.is_object()}
{
    if (!is_object_) {
        errors_.push_back({path_, describe(value_), "an object: {...}"});
    }
}

bool object_reader::has(std::string_view name) const
{
    return is_object_ && value_.contains(name);
}

std::string object_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string{name} : path_ + "." + std::string{name};
}

void object_reader::report(std::string_view name, std::string found, std::string allowed)
{
    errors_.push_back({path_of(name), std::move(found), std::move(allowed)});
}

const json* object_reader::find(std::string_view name, bool is_required, std::string_view allowed)
{
    known_.emplace(name);
    if (has(name)) {
        return &value_.at(std::string{name});
    }
    if (is_required && is_object_) {
        report(name, "nothing", "required: " + std::string{allowed});
    }
    return nullptr;
}

bool object_reader::boolean(std::string_view name, std::optional<bool> fallback)
{
    constexpr std::string_view allowed = "true or false";
    const json* it = find(name, !fallback, allowed);
    if (it != nullptr && it->is_boolean()) {
        return it->get<bool>();
    }
    if (it != nullptr) {
        report(name, describe(*it), std::string{allowed});
    }
    return fallback.value_or(false);
}

std::int64_t object_reader::integer(std::string_view name, std::int64_t min, std::int64_t max,
                                    std::optional<std::int64_t> fallback)
{
    assert(min <= max);
    const std::string allowed = "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const json* it = find(name, !fallback, allowed);
    if (it == nullptr) {
        return fallback.value_or(min);
    }
    // The library stores numbers above the signed range as unsigned.
    const bool is_too_large =
        it->is_number_unsigned() &&
        it->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (it->is_number_integer() && !is_too_large) {
        const auto n = it->get<std::int64_t>();
        if (n >= min && n <= max) {
            return n;
        }
    }
    report(name, describe(*it), allowed);
    return fallback.value_or(min);
}

double object_reader::number(std::string_view name, double min, double max, std::optional<double> fallback)
{
    assert(min <= max);
    const std::string allowed = "a number from " + write_number(min) + " to " + write_number(max);
    const json* it = find(name, !fallback, allowed);
    if (it == nullptr) {
        return fallback.value_or(min);
    }
    if (it->is_number()) {
        const auto n = it->get<double>();
        if (n >= min && n <= max) {
            return n;
        }
    }
    report(name, describe(*it), allowed);
    return fallback.value_or(min);
}

std::string object_reader::text(std::string_view name, std::optional<std::string_view> fallback)
{
    constexpr std::string_view allowed = "a non-empty string";
    const json* it = find(name, !fallback, allowed);
    if (it != nullptr && it->is_string() && !it->get_ref<const std::string&>().empty()) {
        return it->get<std::string>();
    }
    if (it != nullptr) {
        report(name, describe(*it), std::string{allowed});
    }
    return std::string{fallback.value_or("")};
}

std::size_t object_reader::choice(std::string_view name, std::span<const std::string_view> choices,
                                  std::optional<std::size_t> fallback)
{
    assert(!choices.empty());
    const json* it = find(name, !fallback, list_of(choices));
    if (it == nullptr) {
        return fallback.value_or(0);
    }
    for (std::size_t n = 0; n < choices.size(); ++n) {
        if (it->is_string() && it->get_ref<const std::string&>() == choices[n]) {
            return n;
        }
    }
    report(name, describe(*it), list_of(choices));
    return fallback.value_or(0);
}

std::vector<std::string> object_reader::string_list(std::string_view name)
{
    constexpr std::string_view allowed = "an array of distinct non-empty strings";
    const json* list = find(name, false, allowed);
    if (list == nullptr) {
        return {};
    }
    if (!list->is_array()) {
        report(name, describe(*list), std::string{allowed});
        return {};
    }
    std::set<std::string> seen;
    std::vector<std::string> strings;
    for (const json& it : *list) {
        if (it.is_string() && !it.get_ref<const std::string&>().empty() && seen.insert(it).second) {
            strings.push_back(it);
        }
        else {
            report(name, describe(it), std::string{allowed});
        }
    }
    return strings;
}

const json* object_reader::member(std::string_view name, bool is_required)
{
    return find(name, is_required, "an object: {...}");
}

void object_reader::finish()
{
    if (!is_object_) {
        return;
    }
    std::string allowed = "only these keys:";
    for (const std::string& it : known_) {
        allowed += " " + it;
    }
    for (const auto& [key, value] : value_.items()) {
        if (!known_.contains(key)) {
            report(key, "a key that is not known", allowed);
        }
    }
}

} // namespace hemlocknotch
