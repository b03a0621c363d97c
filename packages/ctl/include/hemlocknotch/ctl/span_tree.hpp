#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// One hop of one request, as a daemon wrote it.
struct recorded_span {
    std::string trace_id;
    std::string span_id;
    /// Empty for none.
    std::string parent_id;
    std::string operation;
    std::int64_t start_us = 0;
    std::int64_t duration_us = 0;
    std::string request_id;
    std::string process;
    std::string client_account;
    std::string profile;
    std::string outcome;

    friend bool operator==(const recorded_span&, const recorded_span&) = default;
};

/// One span with its depth in the tree.
struct span_row {
    recorded_span span;
    std::size_t depth = 0;
};

/// Reads one line of a daemon's trace output. Returns nothing where it is no span. Never throws.
std::optional<recorded_span> read_span(std::string_view line);

/// Returns `spans` as the rows of a tree: each below its parent, siblings by start, the shorter first. A span
/// whose parent is not among them is a root. A span that was read twice stands once.
std::vector<span_row> arrange_spans(std::vector<recorded_span> spans);

} // namespace hemlocknotch
