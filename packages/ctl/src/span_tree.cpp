#include <hemlocknotch/coordination/json_fields.hpp>
#include <hemlocknotch/ctl/span_tree.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace hemlocknotch {
namespace {

using nlohmann::json;

std::int64_t read_number(const json& value, const char* name)
{
    const auto it = value.find(name);
    return it != value.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

using children_by_parent = std::map<std::string, std::vector<const recorded_span*>>;

/// Appends `span` and all below it. Each span is visited once, so that a cycle in the input ends.
void append(std::vector<span_row>& rows, const recorded_span& span, std::size_t depth,
            const children_by_parent& children, std::set<const recorded_span*>& visited)
{
    if (!visited.insert(&span).second) {
        return;
    }
    rows.push_back({span, depth});
    const auto it = children.find(span.span_id);
    if (it == children.end()) {
        return;
    }
    for (const recorded_span* child : it->second) {
        append(rows, *child, depth + 1, children, visited);
    }
}

} // namespace

std::optional<recorded_span> read_span(std::string_view line)
{
    const json value = json::parse(line, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    recorded_span span;
    span.trace_id = read_string_field(value, "trace_id");
    span.span_id = read_string_field(value, "span_id");
    span.parent_id = read_string_field(value, "parent_id");
    span.operation = read_string_field(value, "operation");
    span.start_us = read_number(value, "start_us");
    span.duration_us = read_number(value, "duration_us");
    if (span.span_id.empty() || span.operation.empty()) {
        return std::nullopt;
    }
    const auto tags = value.find("tags");
    if (tags != value.end() && tags->is_object()) {
        span.request_id = read_string_field(*tags, "request_id");
        span.process = read_string_field(*tags, "process");
        span.client_account = read_string_field(*tags, "client_account");
        span.profile = read_string_field(*tags, "profile");
        span.outcome = read_string_field(*tags, "outcome");
    }
    return span;
}

std::vector<span_row> arrange_spans(std::vector<recorded_span> spans)
{
    const auto key_of = [](const recorded_span& it) {
        return std::tie(it.start_us, it.duration_us, it.span_id, it.operation, it.process);
    };
    std::sort(spans.begin(), spans.end(),
              [&](const auto& a, const auto& b) { return key_of(a) < key_of(b); });
    spans.erase(std::unique(spans.begin(), spans.end()), spans.end());
    std::set<std::string> known;
    for (const recorded_span& it : spans) {
        known.insert(it.span_id);
    }
    children_by_parent children;
    std::vector<const recorded_span*> roots;
    for (const recorded_span& it : spans) {
        if (known.contains(it.parent_id) && it.parent_id != it.span_id) {
            children[it.parent_id].push_back(&it);
        }
        else {
            roots.push_back(&it);
        }
    }
    std::vector<span_row> rows;
    std::set<const recorded_span*> visited;
    for (const recorded_span* it : roots) {
        append(rows, *it, 0, children, visited);
    }
    return rows;
}

} // namespace hemlocknotch
