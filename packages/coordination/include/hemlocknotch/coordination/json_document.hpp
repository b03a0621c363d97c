#pragma once

#include <hemlocknotch/coordination/configuration_document.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Parses `text` as JSON with comments and appends errors to `errors`. If the text cannot be parsed, returns
/// nothing and appends one error with line and column. A key that occurs twice in one object and nesting
/// beyond the limit are errors too, but the value is returned, so that the caller can look for further
/// errors. Thread-safe.
std::optional<nlohmann::json> parse_json_document(std::string_view text, std::vector<document_error>& errors);

} // namespace hemlocknotch
