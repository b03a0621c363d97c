#include "request_finisher.hpp"

#include <chrono>
#include <string>

namespace hemlocknotch {
namespace {

verdict overall(const entry_request& value, verdict last)
{
    return last == verdict::not_run && value.may_have_run() ? verdict::may_have_run : last;
}

} // namespace

void request_finisher::complete(entry_step& step, entry_request& value)
{
    if (value.exchange != 0) {
        step.emit(reply_end_effect{value.exchange});
    }
    finish(step, value, verdict::ran, to_string(verdict::ran));
}

void request_finisher::refuse(entry_step& step, entry_request& value, refusal_code code, verdict outcome,
                              duration retry_after)
{
    const refusal reason{code, overall(value, outcome), retry_after};
    if (value.exchange != 0 && value.answer.is_head_sent()) {
        step.emit(reply_abort_effect{value.exchange, reason});
    }
    else if (value.exchange != 0) {
        step.emit(reply_refusal_effect{value.exchange, value.id, reason});
    }
    step.count_labelled("hemlocknotch_refusals_total", "code", to_string(code));
    step.emit(log_effect{log_level::info,
                         "request-refused",
                         {{"request_id", value.id.to_string()},
                          {"client_account", value.account_name},
                          {"profile", value.profile->name},
                          {"code", std::string{to_string(code)}},
                          {"verdict", std::string{to_string(reason.outcome)}}}});
    finish(step, value, reason.outcome, to_string(code));
}

void request_finisher::drop(entry_step& step, entry_request& value, verdict outcome)
{
    finish(step, value, overall(value, outcome), to_string(refusal_code::cancelled));
}

void request_finisher::finish(entry_step& step, entry_request& value, verdict outcome,
                              std::string_view result)
{
    if (value.is_claimed) {
        step.emit(settle_claim_effect{value.id, value.account_name, value.idempotency_key, outcome});
    }
    if (value.is_claim_pending) {
        data_.abandoned_claims.emplace(value.id,
                                       claim_key_effect{value.id, value.account_name, value.idempotency_key});
    }
    if (value.state == request_state::waiting) {
        data_.queues[value.service].remove(value);
    }
    const std::chrono::duration<double> elapsed = step.now() - value.arrived;
    step.count_labelled("hemlocknotch_requests_total", "verdict", to_string(outcome));
    step.count(metric_kind::histogram, "hemlocknotch_request_seconds", elapsed.count());
    step.emit(span_effect{value.id, "request", value.arrived, step.now(), value.traceparent,
                          value.account_name, value.profile->name, std::string{result}});
    data_.requests.erase(value);
}

} // namespace hemlocknotch
