#include "caller_answers.hpp"

#include "retry_after.hpp"

#include <chrono>
#include <string>

namespace hemlocknotch::gateway {
namespace {

constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;
constexpr std::string_view first_byte_metric = "hemlocknotch_first_byte_seconds";
constexpr std::string_view request_metric = "hemlocknotch_request_seconds";

} // namespace

void caller_answers::pass_complete(const exchange& it, const exchange_context& context)
{
    if (it.is_begun) {
        return cut(it, "stream-broken", log_level::error, context);
    }
    const auto status = it.head->status;
    ++counters_.answered;
    record_time(it, first_byte_metric, context.now);
    record_time(it, request_metric, context.now);
    log_end(it, status, "answered", status < first_server_error ? log_level::debug : log_level::warning,
            context);
    port_.reply(it.id, *it.head, it.body);
}

void caller_answers::pass_events(exchange& it, std::string_view events, instant now)
{
    if (!it.is_begun) {
        it.is_begun = true;
        record_time(it, first_byte_metric, now);
        port_.begin_stream(it.id, *it.head);
    }
    port_.send_part(it.id, events);
}

void caller_answers::end_stream(const exchange& it, const exchange_context& context)
{
    if (!it.is_begun) {
        port_.begin_stream(it.id, *it.head);
    }
    port_.end_stream(it.id);
    ++counters_.answered;
    record_time(it, request_metric, context.now);
    log_end(it, it.head->status, "answered", log_level::debug, context);
}

void caller_answers::refuse(const exchange& it, int status, std::string_view reason,
                            const retry_advice& advice, const exchange_context& context)
{
    if (it.is_begun) {
        return cut(it, reason, log_level::warning, context);
    }
    ++counters_.refused;
    port_.record({metric_kind::counter, "hemlocknotch_refusals_total", "code", std::string{reason}, 1.0});
    if (!it.account.empty()) {
        port_.record({metric_kind::counter, "hemlocknotch_gateway_account_refusals_total", "account",
                      it.account, 1.0});
    }
    reply_own(it, status, reason, advice, context);
}

void caller_answers::end_unserved(const exchange& it, const unserved_end& end, bool may_have_run,
                                  const exchange_context& context)
{
    if (it.is_begun) {
        cut(it, end.cut_reason, end.cut_level, context);
    }
    else if (may_have_run) {
        ++counters_.failed;
        reply_own(it, end.failed_status, end.failed_reason, duration::zero(), context);
    }
    else {
        refuse(it, status_unavailable, end.refused_reason, min_retry_after, context);
    }
}

void caller_answers::cut(const exchange& it, std::string_view reason, log_level level,
                         const exchange_context& context)
{
    ++counters_.failed;
    log_end(it, 0, reason, level, context);
    port_.abort(it.id);
}

void caller_answers::note_disconnected(const exchange& it, const exchange_context& context)
{
    ++counters_.cancelled;
    log_end(it, 0, "caller-left", log_level::debug, context);
}

void caller_answers::reply_own(const exchange& it, int status, std::string_view reason,
                               const retry_advice& advice, const exchange_context& context)
{
    answer_head head{status, {{"Content-Type", "text/plain"}}};
    if (advice.wait > duration::zero()) {
        const auto& caller_timeout = it.request->fields.caller_timeout;
        head.headers.push_back(
            {"Retry-After", advice.is_known ? known_retry_after_text(it.id_text(), advice.wait)
                                            : retry_after_text(it.id_text(), advice.wait, caller_timeout)});
    }
    log_end(it, status, reason, status < first_server_error ? log_level::info : log_level::warning, context);
    port_.reply(it.id, head, std::string{reason} + "\n");
}

void caller_answers::record_time(const exchange& it, std::string_view name, instant now)
{
    port_.record({metric_kind::histogram, name, "route", it.matched->name,
                  std::chrono::duration<double>(now - it.arrived).count()});
}

void caller_answers::log_end(const exchange& it, int status, std::string_view reason, log_level level,
                             const exchange_context& context)
{
    if (!port_.wants_log(level)) {
        return;
    }
    port_.write_log(
        request_ended_record(it,
                             {.status = status,
                              .reason = reason,
                              .at = context.now,
                              .waiting = context.waiting,
                              .configuration_version = context.configuration_version,
                              .registry_age = it.attempts > 0 ? it.registry_age : context.registry_age},
                             level));
}

} // namespace hemlocknotch::gateway
