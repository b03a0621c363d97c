#include "request_oracle.hpp"

#include "invariant_violation.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
/// Bound of the platform on requests that reach endpoints after their callers have left.
constexpr duration max_unchecked_age = std::chrono::milliseconds{500};
constexpr int status_ok = 200;
/// Statuses of the answers that routers give themselves to requests that are allowed.
constexpr std::array<int, 4> own_statuses{status_too_many_requests, 502, status_unavailable, 504};

/// Returns the call whose endpoint gave the answer; empty where it is the gateway's own.
std::string call_of(const answer_head& head)
{
    const auto is_endpoints =
        !head.headers.empty() && head.headers.front().name == request_oracle::endpoint_header;
    return is_endpoints ? head.headers.front().value : std::string{};
}

} // namespace

std::string event_text(std::uint64_t n)
{
    return "id: " + std::to_string(n) + "\ndata: x\n\n";
}

void request_oracle::check_call(instant now) const
{
    if (has_left && now - arrived >= max_unchecked_age) {
        throw invariant_violation{"a request that was held was sent after its caller had left"};
    }
    if (is_disconnected || is_ended) {
        throw invariant_violation{"a request was sent to an endpoint after it had ended"};
    }
    if (executions > 0 && kind != request_kind::safe && !is_resumable) {
        throw invariant_violation{"a request that must not be repeated was sent again after it was executed"};
    }
}

void request_oracle::note_execution()
{
    ++executions;
    if (is_answered_not_run) {
        throw invariant_violation{"a request was executed after the answer that it will not be"};
    }
    const auto is_once = kind == request_kind::unsafe || (kind == request_kind::streaming && !is_resumable);
    if (executions > (is_once ? 1U : 2U)) {
        throw invariant_violation{"a request was executed more often than allowed"};
    }
}

void request_oracle::note_plain_answer(const std::string& call, int status, std::string body)
{
    plain_answers[call] = {status, std::move(body)};
}

void request_oracle::note_stream_head(const std::string& call, bool is_empty)
{
    streams.insert(call);
    if (is_empty) {
        empty_streams.insert(call);
    }
}

void request_oracle::note_reply(const answer_head& head, std::string_view body)
{
    note_end();
    const auto call = call_of(head);
    const auto given = plain_answers.find(call);
    const auto is_own = call.empty();
    is_answered_not_run =
        is_own && (head.status == status_unavailable || head.status == status_too_many_requests);
    if (is_stream_begun) {
        throw invariant_violation{"a second answer was sent into a stream"};
    }
    if (is_own && std::ranges::find(own_statuses, head.status) == own_statuses.end()) {
        throw invariant_violation{"the gateway gave an answer of its own with a status of endpoints"};
    }
    if (!is_own &&
        (given == plain_answers.end() || given->second.status != head.status || given->second.body != body)) {
        throw invariant_violation{"an answer is not the whole answer of an endpoint"};
    }
    if (is_answered_not_run && executions > 0) {
        throw invariant_violation{"the answer states that a request was not executed, but it was"};
    }
}

void request_oracle::note_stream_begun(const answer_head& head)
{
    if (is_ended) {
        throw invariant_violation{"a stream began after its request had ended"};
    }
    if (std::exchange(is_stream_begun, true)) {
        throw invariant_violation{"a stream began a second time"};
    }
    stream_call = call_of(head);
    if (head.status != status_ok || !streams.contains(stream_call)) {
        throw invariant_violation{"a stream began with the head of another answer"};
    }
}

void request_oracle::note_part(std::string_view bytes)
{
    if (!is_stream_begun) {
        throw invariant_violation{"an event was sent before its stream had begun"};
    }
    while (!bytes.empty()) {
        const auto expected = event_text(next_event);
        if (!bytes.starts_with(expected)) {
            throw invariant_violation{"an event is incomplete, missing or repeated"};
        }
        bytes.remove_prefix(expected.size());
        is_last_event_seen = next_event == stream_events;
        ++next_event;
    }
}

void request_oracle::note_stream_ended()
{
    const auto is_empty = next_event == 1 && empty_streams.contains(stream_call);
    if (!is_last_event_seen && !is_empty) {
        throw invariant_violation{"a stream ended as complete before its last event"};
    }
    note_end();
}

void request_oracle::note_abort()
{
    note_end();
    if (!is_stream_begun) {
        throw invariant_violation{"a connection was closed in place of an answer"};
    }
}

void request_oracle::note_end()
{
    if (is_ended || is_disconnected) {
        throw invariant_violation{"a request was answered after it had ended"};
    }
    is_ended = true;
}

} // namespace hemlocknotch::gateway
