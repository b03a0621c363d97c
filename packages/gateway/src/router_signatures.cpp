#include <hemlocknotch/gateway/crash_breaker.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "caller_answers.hpp"
#include "exchange.hpp"
#include "exchange_log.hpp"
#include "exchange_table.hpp"
#include "unserved_end.hpp"

namespace hemlocknotch::gateway {
namespace {

constexpr int status_unavailable = 503;

const unserved_end& restriction_of(const request_signature& signature)
{
    return signature.is_prompt_part() ? prompt_part_restricted : request_restricted;
}

std::string_view suspicion_of(const request_signature& signature)
{
    return signature.is_prompt_part() ? "prompt-part-suspected" : "request-suspected";
}

/// Names one start of the endpoint of the last call: endpoints may start anew under the names they had.
std::string endpoint_start_of(const exchange& it)
{
    return it.endpoint_started_at_ms == 0 ? it.instance
                                          : it.instance + "@" + std::to_string(it.endpoint_started_at_ms);
}

} // namespace

void router::set_registered_blocks(std::span<const signature_block> blocks,
                                   std::span<const request_signature> lifted, instant now)
{
    breaker_->set_registered(blocks, lifted, now);
    apply_signature_events(now);
}

std::span<const request_signature> router::signatures_of(exchange& it)
{
    if (it.signatures.empty()) {
        if (it.is_model) {
            for (const auto& part : it.placement_input.shared_parts) {
                it.signatures.push_back({part.id});
            }
        }
        // The most specific one is the last.
        it.signatures.push_back(sign_request(it.account, *it.request));
    }
    return it.signatures;
}

signature_decision router::decide_signatures(exchange& it, instant now) const
{
    return breaker_->is_idle() ? signature_decision{} : breaker_->decide(it.id, signatures_of(it), now);
}

void router::refuse_signature(exchange& it, const signature_decision& decision, instant now)
{
    const auto is_blocked = decision.verdict == signature_verdict::blocked;
    const auto& restricted = restriction_of(decision.signature);
    refuse(it, status_unavailable, is_blocked ? restricted.refused_reason : suspicion_of(decision.signature),
           {decision.retry_after, is_blocked}, now);
}

void router::note_call_done(exchange& it, bool was_reached, instant now)
{
    if (!breaker_->is_idle()) {
        breaker_->note_done(it.id, signatures_of(it), was_reached, now);
    }
}

void router::note_cut(exchange& it, instant now)
{
    const auto is_sound_run =
        it.first_event_at != instant::max() && now - it.first_event_at >= crash_breaker::sound_run_time;
    if (!is_sound_run) {
        breaker_->note_end(it.id, signatures_of(it), endpoint_start_of(it), now);
    }
}

void router::note_endpoint_alive(const exchange& it)
{
    if (!breaker_->is_idle()) {
        breaker_->note_answer(endpoint_start_of(it), it.sent_at);
    }
}

void router::note_sound_run(exchange& it, instant now)
{
    if (!breaker_->is_idle()) {
        breaker_->note_sound(signatures_of(it), now);
    }
}

void router::apply_signature_events(instant now)
{
    bool is_restricted = false;
    for (const auto& it : breaker_->take_events()) {
        is_restricted = is_restricted || it.what == signature_event::kind::suspected ||
                        it.what == signature_event::kind::blocked;
        port_.write_state_log(signature_changed_record(it));
    }
    if (is_restricted) {
        end_restricted_requests(now);
    }
}

void router::end_restricted_requests(instant now)
{
    const auto restricted = exchanges_->find_all([&](exchange& it) {
        const auto verdict = decide_signatures(it, now).verdict;
        const auto is_unanswered = it.call != 0 && it.first_event_at == instant::max();
        return verdict == signature_verdict::blocked
                   ? it.is_waiting || is_unanswered
                   : verdict == signature_verdict::suspected && it.is_waiting;
    });
    for (const auto id : restricted) {
        auto& it = *exchanges_->find(id);
        auto may_have_run = it.executions > 0;
        if (it.call != 0) {
            if (!port_.recall_call(it.call)) {
                port_.cancel_call(it.call);
                may_have_run = true;
            }
            finish_call(it, now);
        }
        if (may_have_run || it.is_begun) {
            end_unserved(it, restriction_of(decide_signatures(it, now).signature), may_have_run, now);
        }
        else {
            refuse_signature(it, decide_signatures(it, now), now);
        }
    }
}

} // namespace hemlocknotch::gateway
