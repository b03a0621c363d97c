#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// W3C Trace Context's `traceparent`, version 00. Immutable value; safe to share between threads.
class traceparent {
public:
    /// Parses `00-<32 hex digits>-<16 hex digits>-<2 hex digits>`, in lower case, with ids that are not all
    /// zero. Returns nothing for any other text.
    static std::optional<traceparent> parse(std::string_view text);

    /// Returns the value for a span, with the sampled flag set. Preconditions: the ids are 32 and 16
    /// lower-case hexadecimal digits.
    static traceparent of(std::string_view trace_id, std::string_view span_id);

    /// Returns the 32 hexadecimal digits of the trace.
    [[nodiscard]] std::string_view trace_id() const;

    /// Returns the 16 hexadecimal digits of the span that is the parent of the receiver's spans.
    [[nodiscard]] std::string_view span_id() const;

    /// Returns the text in the format that `parse` accepts.
    [[nodiscard]] const std::string& text() const { return text_; }

private:
    explicit traceparent(std::string text);

    std::string text_;
};

/// Returns `value` as 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t value);

} // namespace hemlocknotch::daemon
