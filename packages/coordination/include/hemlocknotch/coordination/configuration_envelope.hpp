#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// Key of the configuration in force in the key-value service.
inline constexpr std::string_view configuration_key = "hemlocknotch/configuration";

/// Number of earlier revisions that are kept.
inline constexpr std::uint64_t retained_revisions = 50;

/// Number of earlier changes that an envelope names.
inline constexpr std::size_t retained_changes = 32;

/// What stands in the key-value service under `configuration_key` and in the history: one accepted change.
struct configuration_envelope {
    /// Counts accepted changes, from 1.
    std::uint64_t revision = 0;
    /// Who applied it.
    std::string author;
    /// When, in UTC, such as `2026-01-31T12:00:00Z`.
    std::string applied_at;
    /// Drawn at random for each change, so that its writer knows it again where an answer was lost.
    std::string change;
    /// The `change` of the revisions before this one, latest first, at most `retained_changes`: so that a
    /// writer whose answer was lost sees that its change was accepted, also when another has followed.
    std::vector<std::string> previous_changes;
    /// The document as it was written, comments included.
    std::string document;

    friend bool operator==(const configuration_envelope&, const configuration_envelope&) = default;
};

/// Returns `value` as JSON text. Precondition: the document is UTF-8.
std::string write_envelope(const configuration_envelope& value);

/// Reads what `write_envelope` writes. Returns nothing where a field is missing or of another type, or the
/// revision is 0. Only revision and document are needed. Never throws.
std::optional<configuration_envelope> read_envelope(std::string_view text);

/// Returns the key under which `revision` is kept.
std::string history_key(std::uint64_t revision);

} // namespace hemlocknotch
