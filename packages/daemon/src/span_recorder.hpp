#pragma once

#include <hemlocknotch/core/span_effect.hpp>

#include "process_clock.hpp"

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Returns the number of the span of `operation` of a request that began at `started`. Every process works
/// out the same number for the span `request`, whose start does not enter, so that the spans of all processes
/// join without a message of their own.
std::uint64_t span_number(const request_id& id, std::string_view operation, instant started);

/// Returns the `traceparent` that an endpoint receives with a request: the caller's trace, or one with the
/// request's id where the caller named none, and the span `request`. Pure.
std::string outgoing_traceparent(const request_id& id, std::string_view received);

/// Returns `effect` as one JSON line without its end: trace_id, span_id, parent_id, operation, start_us,
/// duration_us and tags. The trace is the caller's, or has the request's id where the caller named none.
/// Pure.
std::string span_line(const span_effect& effect, const process_clock& clock, std::string_view process_name);

/// Writes each span as one JSON line. OpenTracing's mocktracer is not used: its trace ids have 64 bits, those
/// of W3C Trace Context 128, so its spans could not be joined with the callers'. Used by one thread.
class span_recorder {
public:
    /// Makes a recorder that writes nowhere.
    span_recorder() = default;

    /// Writes to `output`: the path of a file, `stderr`, or nothing where empty. Returns null where the file
    /// cannot be opened.
    static std::unique_ptr<span_recorder> open(const std::string& output, std::string process_name);

    ~span_recorder();
    span_recorder(const span_recorder&) = delete;
    span_recorder(span_recorder&&) = delete;
    span_recorder& operator=(const span_recorder&) = delete;
    span_recorder& operator=(span_recorder&&) = delete;

    /// Writes the span of `effect`.
    void record(const span_effect& effect, const process_clock& clock);

private:
    std::string process_name_;
    std::unique_ptr<std::ostream> file_;
    std::ostream* output_ = nullptr;
};

} // namespace hemlocknotch::daemon
