#pragma once

#include <hemlocknotch/core/configuration.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// One error in a hand-written document.
struct document_error {
    /// Path of the key, such as `profiles.booking.deadline_ms`; empty for the document as a whole.
    std::string path;
    /// The value or text that was found there.
    std::string found;
    /// What is allowed there, worded so that it says how to correct the document.
    std::string allowed;
};

/// Returns `error` as one human-readable line.
std::string to_string(const document_error& error);

/// Result of reading a configuration document: the configuration, or all errors found in the document.
struct configuration_read_result {
    /// The configuration that was read; null if there are errors.
    configuration_ptr accepted;
    std::vector<document_error> errors;
};

/// Parses and validates a configuration document (JSON with comments); the result has revision `revision`.
/// All errors are reported together: unknown keys, wrong types, values out of range, duplicate names,
/// profiles of services that are not defined, and names whose account keys collide. Thread-safe.
configuration_read_result read_configuration(std::string_view document, std::uint64_t revision);

} // namespace hemlocknotch
