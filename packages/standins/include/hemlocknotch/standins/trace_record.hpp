#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::standins {

/// One request of a recorded trace.
struct trace_record {
    /// Since the trace's begin.
    duration time{};
    std::string account;
    std::string profile;
    /// Size of the prompt in bytes.
    std::uint64_t size = 0;
    /// Expected cost in units, as the caller states it; rough.
    std::optional<double> cost_hint;
    /// Units that the answer costs, known to nobody but the endpoint before its end.
    double true_cost = 1.0;
    bool is_idempotent = false;
    /// Idempotency key; empty for none.
    std::string key;
    /// Name of the prompt's beginning; empty for none.
    std::string prefix;
};

/// Reads one line of a trace (docs/STANDINS.md). Returns nothing where it is no record.
std::optional<trace_record> read_trace_record(std::string_view line);

/// Returns the line, without newline, that `read_trace_record` reads.
std::string to_line(const trace_record& record);

/// Reads a whole trace. Throws std::runtime_error that names the first line that is no record, or that is
/// earlier than the one before it.
std::vector<trace_record> read_trace(std::string_view text);

} // namespace hemlocknotch::standins
