#pragma once

#include <hemlocknotch/core/configuration.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// One fault of a document that people write.
struct document_error {
    /// Where: the path of the key, such as `profiles.booking.deadline_ms`; empty for the whole document.
    std::string path;
    /// What was found.
    std::string found;
    /// What is allowed, as a sentence that says what to do.
    std::string allowed;
};

/// Returns `error` as one line for people.
std::string to_string(const document_error& error);

/// Outcome of reading a configuration document: a configuration, or all of its faults.
struct configuration_read_result {
    /// Null where there are errors.
    configuration_ptr accepted;
    std::vector<document_error> errors;
};

/// Reads and checks a configuration document (JSON with comments) as revision `revision`. All faults are
/// reported at once: unknown key, wrong type, out of range, duplicate name, a profile of a service that is
/// not there, two names with one key. Safe to call from any thread.
configuration_read_result read_configuration(std::string_view document, std::uint64_t revision);

} // namespace hemlocknotch
