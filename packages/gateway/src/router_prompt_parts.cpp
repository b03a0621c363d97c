#include <hemlocknotch/gateway/prompt_part_breaker.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "caller_answers.hpp"
#include "exchange.hpp"
#include "exchange_log.hpp"
#include "exchange_table.hpp"
#include "unserved_end.hpp"

namespace hemlocknotch::gateway {
namespace {

constexpr int status_unavailable = 503;

} // namespace

void router::set_registered_part_blocks(std::span<const part_block> blocks,
                                        std::span<const std::uint64_t> lifted, instant now)
{
    parts_->set_registered(blocks, lifted, now);
    apply_part_events(now);
}

part_decision router::decide_parts(const exchange& it, instant now) const
{
    return it.is_model ? parts_->decide(it.id, it.placement_input.shared_parts, now) : part_decision{};
}

void router::refuse_part(exchange& it, const part_decision& decision, instant now)
{
    const auto is_blocked = decision.verdict == part_verdict::blocked;
    refuse(it, status_unavailable, is_blocked ? "prompt-part-blocked" : "prompt-part-suspected",
           {decision.retry_after, is_blocked}, now);
}

void router::note_cut(const exchange& it, instant now)
{
    const auto is_sound_run =
        it.first_event_at != instant::max() && now - it.first_event_at >= prompt_part_breaker::sound_run_time;
    if (it.is_model && !is_sound_run) {
        parts_->note_end(it.id, it.placement_input.shared_parts, it.instance, now);
    }
}

void router::note_sound_run(const exchange& it, instant now)
{
    if (it.is_model) {
        parts_->note_sound(it.placement_input.shared_parts, now);
    }
}

void router::apply_part_events(instant now)
{
    bool is_restricted = false;
    for (const auto& it : parts_->take_events()) {
        is_restricted =
            is_restricted || it.what == part_event::kind::suspected || it.what == part_event::kind::blocked;
        port_.write_state_log(part_changed_record(it));
    }
    if (is_restricted) {
        end_restricted_requests(now);
    }
}

void router::end_restricted_requests(instant now)
{
    const auto restricted = exchanges_->find_all([&](const exchange& it) {
        const auto verdict = decide_parts(it, now).verdict;
        const auto is_unanswered = it.call != 0 && it.first_event_at == instant::max();
        return verdict == part_verdict::blocked ? it.is_waiting || is_unanswered
                                                : verdict == part_verdict::suspected && it.is_waiting;
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
            end_unserved(it, prompt_part_restricted, may_have_run, now);
        }
        else {
            refuse_part(it, decide_parts(it, now), now);
        }
    }
}

} // namespace hemlocknotch::gateway
