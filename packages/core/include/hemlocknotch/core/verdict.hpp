#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlocknotch {

/// What is known about the execution of a request.
enum class verdict : std::uint8_t {
    /// The endpoint executed the request and its complete answer is known.
    ran,
    /// The request did not run and never will. Safe to send again, idempotent or not.
    not_run,
    /// The request may have run, partially or completely. A non-idempotent request must not be sent again
    /// without checking.
    may_have_run,
};

/// Returns the text of `value` as used in headers and logs: `ran`, `not-run`, `may-have-run`.
std::string_view to_string(verdict value);

/// Parses the format that `to_string` returns. Returns nothing for any other text.
std::optional<verdict> parse_verdict(std::string_view text);

/// Returns whether a request with this verdict may be executed again. A request that did not run may; one
/// that ran or may have run may only if it is idempotent.
bool may_execute_again(verdict value, bool is_idempotent);

} // namespace hemlocknotch
