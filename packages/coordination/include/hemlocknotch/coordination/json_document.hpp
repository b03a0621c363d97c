#pragma once

#include <hemlocknotch/coordination/configuration_document.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Parses `text` as JSON with comments. Returns nothing where it is not that, with one error that names line
/// and column. A key that stands twice in one object is an error too; then the value is returned all the
/// same, so that other errors can be found. Appends to `errors`. Safe to call from any thread.
std::optional<nlohmann::json> parse_json_document(std::string_view text, std::vector<document_error>& errors);

} // namespace hemlocknotch
