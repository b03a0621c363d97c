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

/// Reads the members of one JSON object that people wrote, and collects what is wrong with them. Each method
/// that reads a member appends an error where it is missing without a fallback, of another type or out of
/// range, and then returns the fallback or a zero value. Call `finish` last. Not safe for use by two threads
/// at once.
class object_reader {
public:
    /// Reads `value`, which stands at `path`. Both `value` and `errors` must outlive the reader. A value that
    /// is no object is reported, and read as an empty one without further errors.
    object_reader(const nlohmann::json& value, std::string path, std::vector<document_error>& errors);

    /// Returns whether the value is an object.
    [[nodiscard]] bool is_object() const { return is_object_; }

    /// Returns whether the object has the member `name`.
    [[nodiscard]] bool has(std::string_view name) const;

    /// Returns the path of the member `name`.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Reads true or false.
    bool boolean(std::string_view name, std::optional<bool> fallback);

    /// Reads a whole number of `min` to `max`.
    std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> fallback);

    /// Reads a number of `min` to `max`.
    double number(std::string_view name, double min, double max, std::optional<double> fallback);

    /// Reads a text that is not empty.
    std::string text(std::string_view name, std::optional<std::string_view> fallback);

    /// Reads one of `choices` and returns its position.
    std::size_t choice(std::string_view name, std::span<const std::string_view> choices,
                       std::optional<std::size_t> fallback);

    /// Reads a list of texts that are not empty and differ; missing means an empty one.
    std::vector<std::string> string_list(std::string_view name);

    /// Returns the member `name` for a reader of its own; null where it is missing, which is an error if
    /// `is_required`.
    const nlohmann::json* member(std::string_view name, bool is_required);

    /// Appends an error.
    void report(std::string_view name, std::string found, std::string allowed);

    /// Reports the members that no method was called for.
    void finish();

private:
    const nlohmann::json* find(std::string_view name, bool is_required, std::string_view allowed);

    const nlohmann::json& value_;
    std::string path_;
    std::vector<document_error>& errors_;
    std::set<std::string, std::less<>> known_;
    bool is_object_;
};

/// Returns `value` as short text for an error, cut where it is long.
std::string describe(const nlohmann::json& value);

} // namespace hemlocknotch
