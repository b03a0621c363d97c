#include <hemlocknotch/gateway/crash_breaker.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "call_table.hpp"
#include "caller_answers.hpp"
#include "endpoint_announcements.hpp"
#include "exchange.hpp"
#include "exchange_log.hpp"
#include "exchange_metrics.hpp"
#include "exchange_table.hpp"
#include "retry_after.hpp"
#include "service_admission.hpp"
#include "unserved_end.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <chrono>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

constexpr int first_server_error = 500;
constexpr int first_redirection = 300;
constexpr int status_no_content = 204;
constexpr int status_reset_content = 205;
constexpr int status_unavailable = 503;
/// Statuses that tell a caller that its request was not executed and will not be.
constexpr std::array promising_statuses{408, 429, status_unavailable};

/// A request with less time left is not retried, since no endpoint would finish it in time.
constexpr duration min_remaining = std::chrono::milliseconds{20};
/// Time after its arrival from which a request is not sent before it is known that its caller is still there:
/// in a gateway that lacks processor time, the end of its connection may not have been read.
constexpr duration min_recheck_age = std::chrono::milliseconds{100};
/// Priority of a request that has been sent before: it precedes new ones of its account.
constexpr unsigned retry_priority = 0;

bool has_content(int status)
{
    return status != status_no_content && status != status_reset_content;
}

} // namespace

void router::recall_from_leaving_endpoints(instant now)
{
    for (const auto id : calls_->exchanges_at_leaving_endpoints()) {
        auto* it = exchanges_->find(id);
        assert(it != nullptr);
        if (port_.recall_call(it->call)) {
            service_of(it->service).note_not_begun(*it, now);
            finish_unsent_call(*it, now);
            if (!refuse_before_stop(*it, now)) {
                send_again(*it, now);
            }
        }
    }
}

bool router::has_disconnected_unnoticed(const exchange& it, instant now)
{
    return now - it.arrived >= min_recheck_age && port_.has_caller_disconnected(it.id);
}

void router::drop(exchange& it, instant now)
{
    answers_->note_disconnected(it, context_of(it, now));
    erase(it);
}

void router::on_connected(call_id call, instant now)
{
    auto* it = find_by_call(call);
    if (it == nullptr) {
        return;
    }
    const auto is_expired = now >= it->ends_at;
    if (!is_expired && !has_disconnected_unnoticed(*it, now)) {
        return;
    }
    port_.cancel_call(call);
    service_of(it->service).note_not_begun(*it, now);
    finish_unsent_call(*it, now);
    is_expired ? end_unserved(*it, deadline_exceeded, it->executions > 0, now) : drop(*it, now);
    offer_waiting(now);
}

void router::on_head(call_id call, answer_head head, const answer_fields& fields, instant now)
{
    auto* it = find_by_call(call);
    if (it == nullptr) {
        return;
    }
    if (announcements_->note_answer(it->instance, head.status, fields, now)) {
        recall_from_leaving_endpoints(now);
    }
    note_endpoint_alive(*it);
    const auto is_success = head.status >= 200 && head.status < 300;
    // A success that states that it was not executed contradicts itself: it may have been.
    if (is_success && (!fields.is_signed || fields.is_encoded || fields.is_not_executed)) {
        port_.cancel_call(call);
        return handle_failure(*it, call_outcome::broken, now);
    }
    it->attempt_timeout_at = instant::max();
    it->is_stream = is_success && has_content(head.status) && it->matched->kind == request_kind::streaming &&
                    fields.is_event_stream;
    it->head = std::move(head);
    it->answer = fields;
    if (it->is_begun && !it->is_stream && !it->is_rejected()) {
        port_.cancel_call(call);
        handle_failed_resumption(*it, now);
    }
}

void router::on_part(call_id call, std::string_view bytes, instant now)
{
    auto* it = find_by_call(call);
    if (it == nullptr || !it->head) {
        return;
    }
    if (it->is_stream) {
        const auto events = it->events.append(bytes);
        if (it->events.is_not_continued()) {
            port_.cancel_call(call);
            return handle_failed_resumption(*it, now);
        }
        if (!events.empty()) {
            if (it->first_event_at == instant::max()) {
                it->first_event_at = now;
                note_rollout_answered(*it, now);
            }
            if (!it->is_begun) {
                note_stream_begun(*it, now);
            }
            answers_->pass_events(*it, events, now);
            pause_if_congested(*it);
            if (now - it->first_event_at >= crash_breaker::sound_run_time) {
                note_sound_run(*it, now);
            }
        }
    }
    else {
        it->body += bytes;
    }
    if (!calls_->note_held(*it)) {
        port_.cancel_call(call);
        return handle_failure(*it, call_outcome::broken, now);
    }
    if (it->is_stream && it->pending > 0.0 && it->is_begun) {
        calls_->note_prompt_read(*it);
        offer_waiting(now);
    }
}

void router::on_end(call_id call, call_outcome outcome, instant now)
{
    auto* found = find_by_call(call);
    if (found == nullptr) {
        return;
    }
    auto& it = *found;
    if (outcome == call_outcome::broken || (it.is_stream && it.events.has_remainder())) {
        note_cut(it, now);
    }
    if (outcome != call_outcome::complete || !it.head) {
        handle_failure(it, outcome == call_outcome::complete ? call_outcome::broken : outcome, now);
        return apply_signature_events(now);
    }
    if (it.is_rejected()) {
        handle_rejection(it, now);
    }
    else if (!it.is_stream) {
        handle_complete_answer(it, now);
    }
    else if (it.events.has_remainder()) {
        handle_failure(it, call_outcome::broken, now);
    }
    else if (it.is_begun && it.first_event_at == instant::max()) {
        // The endpoint may have lost the rest of the stream.
        handle_failed_resumption(it, now);
    }
    else {
        finish_stream(it, now);
    }
    apply_signature_events(now);
    offer_waiting(now);
}

void router::handle_failed_resumption(exchange& it, instant now)
{
    record_stream_not_continued(port_, it);
    if (port_.wants_log(log_level::error)) {
        port_.write_log(stream_not_continued_record(it));
    }
    if (auto* endpoint = endpoints_.find(it.instance)) {
        // Other statuses are the fault of the request, not of the endpoint.
        const auto is_failure = it.head->status < first_redirection || it.head->status >= first_server_error;
        is_failure ? endpoints_.note_failure(*endpoint, true, now) : endpoints_.note_success(*endpoint);
        if (is_failure) {
            note_rollout_failed(it);
        }
    }
    finish_call(it, now);
    if (!retry(it, true, now)) {
        end_unserved(it, endpoint_failed, true, now);
    }
    offer_waiting(now);
}

void router::handle_rejection(exchange& it, instant now)
{
    if (auto* endpoint = endpoints_.find(it.instance)) {
        endpoint_table::note_rejection(*endpoint, it.head->status == exchange::status_misdirected, now);
    }
    service_of(it.service).note_not_begun(it, now);
    finish_call(it, now);
    if (retry(it, false, now)) {
        return;
    }
    const auto paused_until = endpoints_.end_of_pauses(it.service);
    if (it.executions == 0 && !it.is_begun && paused_until != instant::max() &&
        paused_until - now > min_retry_after) {
        return refuse(it, status_unavailable, "endpoints-paused", {paused_until - now, true}, now);
    }
    end_unserved(it, endpoint_refused, it.executions > 0, now);
}

void router::handle_complete_answer(exchange& it, instant now)
{
    if (std::ranges::find(promising_statuses, it.head->status) != promising_statuses.end()) {
        // The endpoint has not said that it did not execute the request.
        return handle_failure(it, call_outcome::broken, now);
    }
    const auto is_failure = it.head->status >= first_server_error;
    is_failure ? note_rollout_failed(it) : note_rollout_answered(it, now);
    if (!is_failure) {
        note_sound_run(it, now);
    }
    if (auto* endpoint = endpoints_.find(it.instance)) {
        is_failure ? endpoints_.note_failure(*endpoint, true, now) : endpoints_.note_success(*endpoint);
    }
    if (is_failure && it.may_retry(true)) {
        // Kept for the caller in case no other endpoint does better.
        const auto head = *it.head;
        auto body = std::move(it.body);
        finish_call(it, now);
        if (retry(it, true, now)) {
            return;
        }
        it.head = head;
        it.body = std::move(body);
    }
    answers_->pass_complete(it, context_of(it, now));
    finish_call(it, now);
    erase(it);
}

void router::finish_stream(exchange& it, instant now)
{
    if (auto* endpoint = endpoints_.find(it.instance)) {
        endpoints_.note_success(*endpoint);
    }
    note_sound_run(it, now);
    answers_->end_stream(it, context_of(it, now));
    finish_call(it, now);
    erase(it);
}

void router::handle_failure(exchange& it, call_outcome outcome, instant now)
{
    const auto was_executed = outcome == call_outcome::broken;
    note_rollout_failed(it);
    if (auto* endpoint = endpoints_.find(it.instance)) {
        if (was_executed && endpoint->consecutive_failures == 0) {
            log_cut_calls(it.instance);
        }
        endpoints_.note_failure(*endpoint, was_executed, now);
    }
    record_failed_call(port_, it);
    if (port_.wants_log(log_level::warning)) {
        port_.write_log(call_failed_record(it, was_executed, port_.event_delay(), now));
    }
    if (it.first_event_at == instant::max()) {
        service_of(it.service).note_not_begun(it, now);
    }
    was_executed ? finish_call(it, now) : finish_unsent_call(it, now);
    if (retry(it, was_executed, now)) {
        offer_waiting(now);
        return;
    }
    end_unserved(it, endpoint_failed, was_executed || it.executions > 0, now);
    offer_waiting(now);
}

void router::log_cut_calls(std::string_view instance)
{
    std::vector<const exchange*> open;
    for (const auto id : calls_->exchanges_at(instance)) {
        open.push_back(exchanges_->find(id));
    }
    port_.write_state_log(endpoint_cut_calls_record(instance, open));
}

bool router::retry(exchange& it, bool was_executed, instant now)
{
    if (!it.may_retry(was_executed) || it.ends_at - now < min_remaining) {
        it.executions += was_executed ? 1U : 0U;
        return false;
    }
    it.executions += was_executed ? 1U : 0U;
    it.tried.push_back(it.instance);
    if (refuse_before_stop(it, now)) {
        return true;
    }
    if (!decide_signatures(it, now).is_permitted()) {
        return false;
    }
    if (endpoints_.are_all_tried(it.service, it.tried, it.stream_version ? &*it.stream_version : nullptr) ||
        !service_of(it.service).retries().try_spend()) {
        return false;
    }
    it.events.begin_continuation();
    ++answers_->counters().retries;
    answers_->counters().resumed_streams += it.is_begun ? 1U : 0U;
    send_again(it, now);
    return true;
}

void router::send_again(exchange& it, instant now)
{
    if (!try_send(it, now)) {
        it.is_waiting = true;
        service_of(it.service).add_waiting(it, retry_priority, it.ends_at - min_remaining, now);
    }
}

void router::expire(exchange& it, instant now)
{
    if (now < it.ends_at) {
        if (it.call == 0 || now < it.attempt_timeout_at || it.head || !it.may_retry(true)) {
            return;
        }
        if (service_of(it.service).retries().available() < 1.0) {
            return;
        }
        port_.cancel_call(it.call);
        handle_failure(it, call_outcome::broken, now);
        return;
    }
    const auto has_call = it.call != 0;
    if (has_call) {
        if (it.first_event_at == instant::max()) {
            note_rollout_failed(it);
            service_of(it.service).note_not_begun(it, now);
        }
        port_.cancel_call(it.call);
        finish_call(it, now);
    }
    end_unserved(it, deadline_exceeded, has_call || it.executions > 0, now);
}

void router::end_unserved(exchange& it, const unserved_end& end, bool may_have_run, instant now)
{
    answers_->end_unserved(it, end, may_have_run, context_of(it, now));
    erase(it);
}

void router::finish_call(exchange& it, instant now)
{
    note_call_done(it, true, now);
    calls_->finish(it);
}

void router::finish_unsent_call(exchange& it, instant now)
{
    note_call_done(it, false, now);
    calls_->finish(it);
}

exchange* router::find_by_call(call_id call)
{
    const auto id = calls_->exchange_of(call);
    return id == 0 ? nullptr : exchanges_->find(id);
}

} // namespace hemlocknotch::gateway
