#include "fuzz_fleet.hpp"
#include "fuzz_gateway.hpp"

#include <array>
#include <string>

namespace hemlocknotch::gateway {
namespace {

/// Answers of model endpoints, in percent, that are no series of events.
constexpr unsigned unusual_percent = 8;
/// One of two kinds is chosen, in percent.
constexpr unsigned half_percent = 50;
/// Answers that break off in their body, in percent.
constexpr unsigned broken_percent = 10;

/// A whole answer of an endpoint that is no event stream.
struct plain_answer {
    int status;
    bool is_signed;
};

constexpr std::array<plain_answer, 8> plain_answers{{{500, true},
                                                     {404, true},
                                                     {400, true},
                                                     {429, true},
                                                     {504, false},
                                                     {200, true},
                                                     {200, false},
                                                     {204, true}}};

/// Statuses of answers that say that the request was not executed.
constexpr std::array<int, 3> rejections{429, 500, 503};
constexpr int status_misdirected = 421;

std::string body_of(call_id id)
{
    return "body of call " + std::to_string(id);
}

} // namespace

answer_head fuzz_fleet::endpoint_head(call_id id, int status)
{
    return {status, {{std::string{request_oracle::endpoint_header}, std::to_string(id)}}};
}

bool fuzz_fleet::answer_unusually(gateway_state& it, open_call& call)
{
    if (call.has_plain_head) {
        end_plain_answer(it, call);
        return true;
    }
    if (call.has_head || !unusual_chance(unusual_percent)) {
        return false;
    }
    switch (draw_unusual(4)) {
    case 0:
        reject_unusually(it, call);
        break;
    case 1:
        end_without_events(it, call);
        break;
    default:
        begin_plain_answer(it, call);
    }
    return true;
}

void fuzz_fleet::reject_unusually(gateway_state& it, const open_call& call)
{
    const auto id = call.start.call;
    if (call.is_executing) {
        return;
    }
    answer_fields fields;
    fields.is_not_executed = unusual_chance(half_percent);
    fields.request_limit = arrivals_.state_limit(call.start.instance, now_);
    const auto status =
        fields.is_not_executed ? rejections.at(draw_unusual(rejections.size())) : status_misdirected;
    it.decisions->on_head(id, endpoint_head(id, status), fields, now_);
    finish_call(it, id, call_outcome::complete);
}

void fuzz_fleet::end_without_events(gateway_state& it, open_call& call)
{
    const auto id = call.start.call;
    execute(it, call);
    const auto is_broken = unusual_chance(half_percent);
    auto& request = request_of(it, call);
    request.note_stream_head(std::to_string(id), !is_broken && call.start.resume_after.empty());
    it.decisions->on_head(id, endpoint_head(id, 200), stream_fields(call), now_);
    finish_call(it, id, is_broken ? call_outcome::broken : call_outcome::complete);
}

void fuzz_fleet::begin_plain_answer(gateway_state& it, open_call& call)
{
    const auto id = call.start.call;
    execute(it, call);
    const auto& chosen = plain_answers.at(draw_unusual(plain_answers.size()));
    answer_fields fields;
    fields.is_signed = chosen.is_signed;
    fields.request_limit = arrivals_.state_limit(call.start.instance, now_);
    call.has_plain_head = true;
    call.plain_status = chosen.status;
    it.decisions->on_head(id, endpoint_head(id, chosen.status), fields, now_);
    const auto found = it.calls.find(id);
    if (found != it.calls.end() && unusual_chance(half_percent)) {
        end_plain_answer(it, found->second);
    }
}

void fuzz_fleet::end_plain_answer(gateway_state& it, const open_call& call)
{
    const auto id = call.start.call;
    const auto body = call.plain_status == 204 ? std::string{} : body_of(id);
    if (unusual_chance(broken_percent)) {
        it.decisions->on_part(id, std::string_view{body}.substr(0, body.size() / 2), now_);
        return finish_call(it, id, call_outcome::broken);
    }
    request_of(it, call).note_plain_answer(std::to_string(id), call.plain_status, body);
    it.decisions->on_part(id, body, now_);
    finish_call(it, id, call_outcome::complete);
}

void fuzz_fleet::finish_call(gateway_state& it, call_id id, call_outcome outcome)
{
    if (it.calls.erase(id) > 0) {
        it.decisions->on_end(id, outcome, now_);
    }
}

request_oracle& fuzz_fleet::request_of(gateway_state& it, const open_call& call)
{
    return it.requests.at(std::stoull(call.start.request->fields.id));
}

answer_fields fuzz_fleet::stream_fields(const open_call& call)
{
    answer_fields out;
    out.is_signed = true;
    out.is_event_stream = true;
    out.request_limit = arrivals_.state_limit(call.start.instance, now_);
    return out;
}

} // namespace hemlocknotch::gateway
