#pragma once

#include <hemlocknotch/coordination/configuration_document.hpp>
#include <hemlocknotch/coordination/configuration_envelope.hpp>
#include <hemlocknotch/ctl/configuration_difference.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// How an edit of the configuration ended.
enum class edit_status : std::uint8_t {
    /// Accepted.
    applied,
    /// Nothing to do: what was asked for stands already.
    unchanged,
    /// The document is faulty. Nothing was changed.
    refused,
    /// Somebody else's change came first. This one was not accepted.
    conflict,
    /// The key-value service gave no answer. The change may have been accepted, now or later.
    unknown,
    /// The key-value service gave no answer or was over its rate limit, and nothing was changed.
    unavailable,
    /// What was named is not there. Nothing was changed.
    not_found,
};

/// Returns the text of `status` as it stands in JSON output, such as `applied`.
std::string_view to_string(edit_status status);

/// Outcome of an edit.
struct edit_result {
    edit_status status = edit_status::unknown;
    /// Applied: the new revision. Otherwise the one that was read, 0 where there is none.
    std::uint64_t revision = 0;
    /// Refused: all faults of the document.
    std::vector<document_error> errors;
    /// Conflict: what stands in its place; nothing where the configuration was removed.
    std::optional<configuration_envelope> winner;
    /// Applied: what changed. Conflict: what separates the winner from the document that lost.
    std::vector<configuration_change> differences;
    /// One sentence for people.
    std::string detail;
};

} // namespace hemlocknotch
