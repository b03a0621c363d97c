#include "exchange_log.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// Maximum number of prompt parts in one record.
constexpr std::size_t max_logged_parts = 16;

/// Returns the ids in hexadecimal notation, separated by commas.
std::string part_ids_text(std::span<const std::uint64_t> ids)
{
    std::string out;
    for (const auto id : ids.first(std::min(ids.size(), max_logged_parts))) {
        std::array<char, 16> buf{};
        const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), id, 16).ptr;
        out += out.empty() ? "" : ",";
        out.append(buf.data(), end);
    }
    return out;
}

/// Returns a rate in whole tokens per second; empty if it is unlimited.
std::string rate_text(double rate)
{
    return rate >= std::numeric_limits<double>::max() ? "" : std::to_string(std::llround(rate));
}

void append_part_ids(const exchange& it, std::vector<std::uint64_t>& ids)
{
    for (const auto& part : it.placement_input.shared_parts) {
        if (std::ranges::find(ids, part.id) == ids.end()) {
            ids.push_back(part.id);
        }
    }
}

} // namespace

log_effect request_ended_record(const exchange& it, const exchange_end& end, log_level level)
{
    return {level,
            "request-ended",
            {{"request", std::string{it.id_text()}},
             {"status", std::to_string(end.status)},
             {"held_ms", milliseconds_text(end.at - it.arrived)},
             {"standing", std::string{to_string(it.placement_input.account_share)}},
             {"account_rate", it.share ? rate_text(it.share->rates.served) : ""},
             {"account_requests", it.share ? rate_text(it.share->rates.requested) : ""},
             {"fair_rate", it.share ? rate_text(it.share->fair_level) : ""},
             {"waiting", std::to_string(end.waiting)},
             {"expected_wait_ms", it.estimated_wait ? milliseconds_text(*it.estimated_wait) : ""},
             {"reason", std::string{end.reason}},
             {"route", it.matched == nullptr ? "" : it.matched->name},
             {"account", it.account},
             {"endpoint", it.instance},
             {"version", it.endpoint_version},
             {"sends", std::to_string(it.attempts)},
             {"executions", std::to_string(it.executions)},
             {"begun", it.is_begun ? "1" : "0"},
             {"last_event", it.events.last_id()},
             {"configuration", std::to_string(end.configuration_version)},
             {"registry_age_ms",
              end.registry_age < duration::zero() ? "" : milliseconds_text(end.registry_age)}}};
}

log_effect call_failed_record(const exchange& it, bool was_reached, duration event_delay, instant now)
{
    std::vector<std::uint64_t> parts;
    append_part_ids(it, parts);
    return {log_level::warning,
            "call-failed",
            {{"request", std::string{it.id_text()}},
             {"endpoint", it.instance},
             {"outcome", was_reached ? "broken" : "not-connected"},
             {"events", it.events.last_id()},
             {"sends", std::to_string(it.attempts)},
             {"ran_ms", milliseconds_text(now - it.sent_at)},
             {"event_delay_ms", milliseconds_text(event_delay)},
             {"parts", part_ids_text(parts)},
             {"signature", was_reached ? to_text(sign_request(it.account, *it.request)) : ""}}};
}

log_effect stream_continued_record(const exchange& it, std::string_view after)
{
    return {it.stream_version.value_or("") == it.endpoint_version ? log_level::debug : log_level::warning,
            "stream-continued",
            {{"request", std::string{it.id_text()}},
             {"resumes", it.request->fields.resumed_request_id},
             {"last_event", std::string{after}},
             {"endpoint", it.instance},
             {"version", it.endpoint_version},
             {"began_at", it.stream_version.value_or("")},
             {"sends", std::to_string(it.attempts)}}};
}

log_effect stream_not_continued_record(const exchange& it)
{
    return {log_level::error,
            "stream-not-continued",
            {{"request", std::string{it.id_text()}},
             {"endpoint", it.instance},
             {"status", std::to_string(it.head ? it.head->status : 0)},
             {"last_event", it.events.last_id()},
             {"sends", std::to_string(it.attempts)}}};
}

log_effect endpoint_cut_calls_record(std::string_view instance, std::span<const exchange* const> open)
{
    std::vector<std::uint64_t> parts;
    std::size_t unanswered = 0;
    for (const auto* it : open) {
        if (it->first_event_at == instant::max()) {
            ++unanswered;
            append_part_ids(*it, parts);
        }
    }
    return {log_level::warning,
            "endpoint-cut-calls",
            {{"endpoint", std::string{instance}},
             {"open_calls", std::to_string(open.size())},
             {"unanswered", std::to_string(unanswered)},
             {"unanswered_parts", part_ids_text(parts)}}};
}

log_effect endpoint_limit_record(std::string_view instance, double before, double after,
                                 std::string_view source)
{
    return {log_level::warning,
            "endpoint-limit-changed",
            {{"endpoint", std::string{instance}},
             {"requests_per_second", std::to_string(after)},
             {"before", std::to_string(before)},
             {"source", std::string{source}}}};
}

log_effect signature_changed_record(const signature_event& it)
{
    const auto change_of = [](signature_event::kind what) {
        switch (what) {
        case signature_event::kind::suspected:
            return "suspected";
        case signature_event::kind::blocked:
            return "blocked";
        case signature_event::kind::cleared:
            return "cleared";
        case signature_event::kind::lifted:
            break;
        }
        return "block-lifted";
    };
    std::string endpoints;
    for (const auto& instance : it.endpoints) {
        endpoints += endpoints.empty() ? "" : ",";
        endpoints += instance;
    }
    const auto is_part = it.signature.is_prompt_part();
    return {log_level::warning,
            std::string{is_part ? "prompt-part-" : "request-"} + change_of(it.what),
            {{is_part ? "part" : "signature", to_text(it.signature)},
             {"ends", std::to_string(it.endpoints.size())},
             {"endpoints", std::move(endpoints)},
             {"block", std::to_string(it.block)},
             {"source", it.source}}};
}

} // namespace hemlocknotch::gateway
