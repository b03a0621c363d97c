#include "outcome_handler.hpp"

#include "media_type.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <string>
#include <string_view>

namespace hemlocknotch {
namespace {

void ack_end(entry_step& step, outgoing_link& link, const end_message& end)
{
    link_table::send(
        step, link,
        ack_message{.id = end.id, .attempt = end.attempt, .offset = end.length, .is_final = true});
}

} // namespace

entry_request* outcome_handler::current_dispatch(entry_step& step, const outgoing_link& link,
                                                 const request_id& id, std::uint32_t attempt)
{
    entry_request* const value = data_.requests.find(id);
    const bool is_current =
        value != nullptr && value->is_outstanding() && value->attempt == attempt && value->agent == link.peer;
    if (!is_current) {
        step.count(metric_kind::counter, "hemlocknotch_stale_messages_total");
        return nullptr;
    }
    return value;
}

void outcome_handler::record_activity(const entry_step& step, entry_request& value)
{
    if (value.state == request_state::dispatched) {
        data_.requests.set_state(value, request_state::running);
    }
    value.last_activity = step.now();
}

void outcome_handler::on_refuse(entry_step& step, const outgoing_link& link, const refuse_message& value)
{
    entry_request* const request = current_dispatch(step, link, value.id, value.attempt);
    if (request != nullptr) {
        not_run(step, *request, value.code, value.retry_after);
    }
}

void outcome_handler::on_head(entry_step& step, outgoing_link& link, const head_message& value)
{
    entry_request* const request = current_dispatch(step, link, value.id, value.attempt);
    if (request == nullptr) {
        return;
    }
    record_activity(step, *request);
    answer_progress& answer = request->answer;
    // The head of a dispatch that resumes an answer only confirms that the endpoint knows the stream, so its
    // status may differ.
    const bool is_other_status = request->dispatched_from == 0 && answer.status() != value.status;
    const std::string_view media_type = media_type_of(value.headers);
    if (answer.is_head_sent() && (is_other_status || !may_continue(request->media_type, media_type))) {
        on_unresolvable(step, *request);
        return;
    }
    request->head_attempt = value.attempt;
    if (!answer.is_head_sent()) {
        answer.set_head_sent(value.status);
        request->media_type = media_type;
        const std::chrono::duration<double> elapsed = step.now() - request->arrived;
        step.count(metric_kind::histogram, "hemlocknotch_first_byte_seconds", elapsed.count());
        if (request->exchange != 0) {
            step.emit(reply_head_effect{request->exchange, request->id, value.status, value.headers});
        }
        if (!request->profile->is_idempotent) {
            data_.requests.release_body(*request);
        }
    }
}

void outcome_handler::on_part(entry_step& step, outgoing_link& link, const part_message& value)
{
    entry_request* const request = current_dispatch(step, link, value.id, value.attempt);
    if (request == nullptr) {
        return;
    }
    const instant before = request->last_activity;
    record_activity(step, *request);
    answer_progress& answer = request->answer;
    const bool has_caller = request->exchange != 0;
    const auto decision = request->is_head_confirmed() ? answer.accept_part(value.offset, value.bytes,
                                                                            data_.options.reply_window_bytes)
                                                       : answer_progress::part_decision{{}, true};
    if (!decision.new_bytes.empty()) {
        const std::chrono::duration<double> interval = step.now() - before;
        step.count(metric_kind::histogram, "hemlocknotch_part_interval_seconds", interval.count());
    }
    if (!decision.new_bytes.empty() && has_caller) {
        step.emit(reply_part_effect{request->exchange, std::string{decision.new_bytes}});
    }
    if (!has_caller) {
        answer.on_sent(answer.received());
        acknowledge(step, *request);
    }
    if (decision.is_gap) {
        request_missing_parts(step, link, *request);
    }
}

void outcome_handler::on_end(entry_step& step, outgoing_link& link, const end_message& value)
{
    entry_request* const request = current_dispatch(step, link, value.id, value.attempt);
    if (request == nullptr) {
        if (data_.requests.find(value.id) == nullptr) {
            ack_end(step, link, value);
        }
        return;
    }
    record_activity(step, *request);
    switch (value.outcome) {
    case verdict::ran:
        ran(step, link, *request, value);
        return;
    case verdict::not_run:
        ack_end(step, link, value);
        not_run(step, *request, value.code, {});
        return;
    case verdict::may_have_run:
        ack_end(step, link, value);
        may_have_run(step, *request, value.code);
        return;
    }
}

void outcome_handler::ran(entry_step& step, outgoing_link& link, entry_request& value, const end_message& end)
{
    const answer_progress& answer = value.answer;
    if (answer.is_head_sent() && answer.received() > end.length) {
        ack_end(step, link, end);
        may_have_run(step, value, refusal_code::endpoint_failed);
        return;
    }
    if (!value.is_head_confirmed() || answer.received() < end.length) {
        request_missing_parts(step, link, value);
        return;
    }
    ack_end(step, link, end);
    data_.estimator.learn(value.profile->name, value.client_account, value.cost_hint, end.cost);
    step.emit(span_effect{value.id, "link", value.dispatched_at, step.now(), value.traceparent,
                          value.account_name, value.profile->name, value.agent.name});
    finisher_.complete(step, value);
}

void outcome_handler::on_resolved(entry_step& step, outgoing_link& link, const resolved_message& value)
{
    entry_request* const request = current_dispatch(step, link, value.id, value.attempt);
    if (request == nullptr || !request->is_resolving || request->link != link.id) {
        return;
    }
    request->is_resolving = false;
    request->last_activity = step.now();
    switch (value.state) {
    case dispatch_state::running:
    case dispatch_state::ended:
        data_.requests.set_state(*request, request_state::running);
        data_.requests.set_timer(*request, step.now() + data_.options.resolve_limit);
        return;
    case dispatch_state::never_seen:
        not_run(step, *request, refusal_code::unresolvable, {});
        return;
    case dispatch_state::forgotten:
        may_have_run(step, *request, refusal_code::unresolvable);
        return;
    }
}

void outcome_handler::resolve(entry_step& step, outgoing_link& link, entry_request& value)
{
    assert(value.is_outstanding() && value.agent == link.peer);
    if (value.is_resolving && value.link == link.id) {
        return;
    }
    value.link = link.id;
    value.is_resolving = true;
    if (value.state != request_state::unknown) {
        data_.requests.set_timer(value, step.now() + data_.options.resolve_limit);
    }
    step.count(metric_kind::counter, "hemlocknotch_resolves_total");
    link_table::send(step, link, resolve_message{value.id, value.attempt, value.answer.received()});
}

void outcome_handler::request_missing_parts(entry_step& step, outgoing_link& link, entry_request& value)
{
    if (value.answer.is_window_full(data_.options.reply_window_bytes)) {
        value.answer.set_bytes_dropped();
        return;
    }
    resolve(step, link, value);
}

void outcome_handler::on_link_lost(const entry_step& step, entry_request& value)
{
    if (value.state != request_state::unknown) {
        data_.requests.set_state(value, request_state::unknown);
        data_.requests.set_timer(value, step.now() + data_.options.resolve_limit);
    }
    value.link = 0;
    value.is_resolving = false;
}

void outcome_handler::on_unresolvable(entry_step& step, entry_request& value)
{
    outgoing_link* const link = data_.links.usable_link_to(value.agent.name);
    if (link != nullptr && link->peer == value.agent) {
        link_table::send(step, *link, cancel_message{value.id, value.attempt});
    }
    may_have_run(step, value, refusal_code::unresolvable);
}

void outcome_handler::on_timer(entry_step& step, entry_request& value)
{
    const instant times_out_at = value.last_activity + data_.options.resolve_limit;
    const bool is_resolve_pending = value.is_resolving || value.state == request_state::unknown;
    if (!is_resolve_pending && times_out_at > step.now()) {
        data_.requests.set_timer(value, times_out_at);
        return;
    }
    outgoing_link* const link = data_.links.find(value.link);
    if (is_resolve_pending || link == nullptr || !link->is_open) {
        on_unresolvable(step, value);
        return;
    }
    resolve(step, *link, value);
}

void outcome_handler::acknowledge(entry_step& step, entry_request& value)
{
    const std::uint64_t offset = value.answer.take_ack(acknowledgement_step_bytes(data_.options));
    outgoing_link* const link = data_.links.find(value.link);
    if (offset == 0 || link == nullptr || !link->is_open) {
        return;
    }
    link_table::send(step, *link, ack_message{.id = value.id, .attempt = value.attempt, .offset = offset});
    if (value.answer.take_bytes_dropped()) {
        resolve(step, *link, value);
    }
}

void outcome_handler::not_run(entry_step& step, entry_request& value, refusal_code code, duration retry_after)
{
    if (value.exchange == 0) {
        finisher_.drop(step, value, verdict::not_run);
        return;
    }
    if (value.answer.is_head_sent() && value.pinned_agent.empty()) {
        // The agent has already sent part of an answer to this dispatch, so it cannot be treated as not run.
        may_have_run(step, value, code);
        return;
    }
    ++value.refusals;
    const bool is_late = step.now() >= value.deadline || code == refusal_code::deadline_passed;
    if (is_late) {
        finisher_.refuse(step, value, refusal_code::deadline_passed, verdict::not_run, retry_after);
    }
    else if (value.refusals == 1) {
        dispatcher_.enqueue(step, value);
    }
    else {
        dispatcher_.delay(step, value, value.refusals - 1);
    }
}

void outcome_handler::may_have_run(entry_step& step, entry_request& value, refusal_code code)
{
    ++value.executions;
    value.refusals = 0;
    if (value.exchange == 0) {
        finisher_.drop(step, value, verdict::may_have_run);
        return;
    }
    if (!is_retry_possible(step, value)) {
        finisher_.refuse(step, value, code, verdict::may_have_run);
    }
    else if (!data_.budget.try_spend(step.now())) {
        const duration delay_time = data_.rate.time_for_all(data_.requests.waiting(), step.now());
        finisher_.refuse(step, value, refusal_code::retry_budget_spent, verdict::may_have_run, delay_time);
    }
    else {
        retry(step, value);
    }
}

bool outcome_handler::is_retry_possible(const entry_step& step, const entry_request& value) const
{
    const profile_definition& profile = *value.profile;
    const bool is_answer_open = !value.answer.is_head_sent() || profile.is_resumable;
    const bool is_in_time = value.answer.is_head_sent() || step.now() < value.deadline;
    return profile.is_idempotent && value.executions < profile.max_attempts && is_answer_open && is_in_time;
}

void outcome_handler::retry(entry_step& step, entry_request& value)
{
    step.count(metric_kind::counter, "hemlocknotch_retries_total");
    if (value.answer.is_head_sent()) {
        value.pinned_agent = value.agent.name;
        value.deadline = step.now() + data_.options.resolve_limit;
    }
    dispatcher_.delay(step, value, value.executions);
}

} // namespace hemlocknotch
