#pragma once

#include <hemlocknotch/coordination/configuration_document.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Reads the members of one JSON object of a hand-written document and collects errors. Each method that
/// reads a member appends an error if the member is missing and has no fallback, has the wrong type or is out
/// of range; it then returns the fallback, or the lowest allowed, empty or first value if there is none. Call
/// `finish` last. Not thread-safe.
class object_reader {
public:
    /// Reads `value`, whose path in the document is `path`. Both `value` and `errors` must outlive the
    /// reader. If `value` is not an object, that is the only error reported, and all its members read as
    /// missing.
    object_reader(const nlohmann::json& value, std::string path, std::vector<document_error>& errors);

    /// Returns whether the value is an object.
    [[nodiscard]] bool is_object() const { return is_object_; }

    /// Returns whether the object has the member `name`.
    [[nodiscard]] bool has(std::string_view name) const;

    /// Returns the path of the member `name`.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Reads a boolean.
    bool boolean(std::string_view name, std::optional<bool> fallback);

    /// Reads an integer from `min` to `max`.
    std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> fallback);

    /// Reads a number from `min` to `max`.
    double number(std::string_view name, double min, double max, std::optional<double> fallback);

    /// Reads a non-empty string.
    std::string text(std::string_view name, std::optional<std::string_view> fallback);

    /// Reads a string that is one of `choices` and returns its index.
    std::size_t choice(std::string_view name, std::span<const std::string_view> choices,
                       std::optional<std::size_t> fallback);

    /// Reads an array of distinct non-empty strings; a missing member reads as an empty one.
    std::vector<std::string> string_list(std::string_view name);

    /// Returns the member `name`, to be read by an `object_reader` of its own. Returns null if it is missing,
    /// which is an error if `is_required`.
    const nlohmann::json* member(std::string_view name, bool is_required);

    /// Appends an error about the member `name`.
    void report(std::string_view name, std::string found, std::string allowed);

    /// Reports as an unknown key each member of the object whose name was not passed to any of the reading
    /// methods.
    void finish();

private:
    const nlohmann::json* find(std::string_view name, bool is_required, std::string_view allowed);

    const nlohmann::json& value_;
    std::string path_;
    std::vector<document_error>& errors_;
    std::set<std::string, std::less<>> known_;
    bool is_object_;
};

/// Returns `value` as JSON for an error message, truncated if it is long.
std::string describe(const nlohmann::json& value);

} // namespace hemlocknotch
