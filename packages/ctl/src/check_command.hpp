#pragma once

#include <hemlocknotch/coordination/configuration_document.hpp>

#include "command_options.hpp"
#include "command_output.hpp"
#include "exit_code.hpp"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include <span>

namespace hemlocknotch {

/// Checks a document without any service. Fails with a `command_error` where the file cannot be read.
boost::leaf::result<exit_code> run_check(const command_options& options, const command_output& output);

/// Returns `errors` as a JSON list.
nlohmann::ordered_json errors_as_json(std::span<const document_error> errors);

/// Writes one line for each of `errors`.
void write_errors(std::ostream& out, std::span<const document_error> errors);

} // namespace hemlocknotch
