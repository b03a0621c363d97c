#pragma once

#include <hemlocknotch/core/span_effect.hpp>

#include "process_clock.hpp"

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Returns the id of the span of `operation` for request `id`, started at `started`. The id of the span
/// `request` does not depend on `started`, so every process computes the same id and the spans of all
/// processes join without an exchange of messages. Pure.
std::uint64_t compute_span_id(const request_id& id, std::string_view operation, instant started);

/// Returns the `traceparent` that an endpoint receives with a request. Its span is `request`; its trace is
/// that of `received`, or has the request's id if the caller sent no valid `traceparent`. Pure.
std::string outgoing_traceparent(const request_id& id, std::string_view received);

/// Returns `effect` as one JSON line without the line break: trace_id, span_id, parent_id, operation,
/// start_us, duration_us and tags. The trace is the caller's, or has the request's id if the caller sent no
/// valid `traceparent`. Pure.
std::string span_line(const span_effect& effect, const process_clock& clock, std::string_view process_name);

/// Writes each span as one JSON line. OpenTracing's mocktracer is not used: its trace ids have 64 bits, those
/// of W3C Trace Context 128, so its spans could not be joined with the callers' spans. Used by one thread.
class span_recorder {
public:
    /// Creates a recorder that discards all spans.
    span_recorder() = default;

    /// Creates a recorder that writes to `output`: the path of a file, which is appended to, or `stderr`.
    /// Discards all spans if `output` is empty. Returns null if the file cannot be opened.
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
