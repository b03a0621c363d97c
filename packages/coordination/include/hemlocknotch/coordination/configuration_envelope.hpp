#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Key of the current configuration in the key-value service.
inline constexpr std::string_view configuration_key = "hemlocknotch/configuration";

/// Number of revisions that the history retains.
inline constexpr std::uint64_t retained_revisions = 50;

/// Maximum number of earlier changes listed in an envelope.
inline constexpr std::size_t retained_changes = 32;

/// One accepted change of the configuration: the value stored in the key-value service under
/// `configuration_key` and under the keys of the history.
struct configuration_envelope {
    /// Number of the accepted change, counted from 1.
    std::uint64_t revision = 0;
    /// Name of the person or program that applied the change.
    std::string author;
    /// Time of the change in UTC, such as `2026-01-31T12:00:00Z`.
    std::string applied_at;
    /// Random identifier of the change. A writer that got no answer to its write recognises its own change by
    /// it.
    std::string change;
    /// The `change` identifiers of the preceding revisions, latest first, at most `retained_changes`. They
    /// show a writer that got no answer that its change was accepted, even if another change has followed.
    std::vector<std::string> previous_changes;
    /// The configuration document as its author wrote it, comments included.
    std::string document;

    friend bool operator==(const configuration_envelope&, const configuration_envelope&) = default;
};

/// Returns `value` as JSON text. Precondition: the document is UTF-8.
std::string write_envelope(const configuration_envelope& value);

/// Parses the output of `write_envelope`. Returns nothing if `revision` or `document` is missing or has the
/// wrong type, or if the revision is 0; the other fields are optional. Never throws.
std::optional<configuration_envelope> read_envelope(std::string_view text);

/// Returns the key under which the history stores `revision`.
std::string history_key(std::uint64_t revision);

} // namespace hemlocknotch
