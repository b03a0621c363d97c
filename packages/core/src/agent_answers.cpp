#include "agent_answers.hpp"

#include "agent_submits.hpp"

#include <algorithm>
#include <cassert>
#include <string>

namespace hemlocknotch::agent {
namespace {

/// Largest piece of an answer in one message, in bytes.
constexpr std::size_t max_part_bytes = 64U << 10U;

/// An ended answer whose entry keeps its link but acknowledges nothing is kept this many times longer than
/// one whose entry has none.
constexpr int connected_retention_factor = 4;

void send_end(agent_context& context, agent_dispatch& value)
{
    value.is_end_sent = true;
    end_message end;
    end.id = value.request.id;
    end.attempt = value.request.attempt;
    end.outcome = value.outcome;
    end.length = value.answer.end();
    end.cost = value.units;
    end.code = value.code;
    end.queue_time = value.started - value.accepted;
    end.run_time = value.ended - value.started;
    context.send(value.link, end);
}

dispatch_state state_without_dispatch(agent_context& context, const resolve_message& value)
{
    const auto record = context.tombstones.find(value.id);
    if (record && value.attempt <= record->attempt) {
        const bool is_refused = value.attempt == record->attempt && record->kind == tombstone_kind::not_run;
        return is_refused ? dispatch_state::never_seen : dispatch_state::forgotten;
    }
    if (!record && context.tombstones.may_have_dropped(value.id)) {
        return dispatch_state::forgotten;
    }
    context.tombstones.add(value.id, tombstone_kind::not_run, value.attempt, context.now);
    return dispatch_state::never_seen;
}

/// Returns the state of a dispatch that the table holds, of which attempt `value.attempt` is asked for.
dispatch_state state_of(agent_context& context, agent_dispatch& known, const resolve_message& value)
{
    if (value.attempt > known.request.attempt) {
        context.tombstones.add(value.id, tombstone_kind::not_run, value.attempt, context.now);
        return dispatch_state::never_seen;
    }
    if (value.attempt < known.request.attempt || value.offset > known.answer.end()) {
        return dispatch_state::forgotten;
    }
    return known.phase == dispatch_phase::ended ? dispatch_state::ended : dispatch_state::running;
}

bool is_abandoned(const agent_context& context, const agent_dispatch& it)
{
    const duration kept = context.options.answer_retention;
    if (it.link != 0) {
        const instant last = std::max(it.ended, it.last_acknowledged);
        return it.phase == dispatch_phase::ended && context.now - last >= kept * connected_retention_factor;
    }
    if (it.phase == dispatch_phase::ended) {
        return context.now - std::max(it.ended, it.orphaned) >= kept;
    }
    const bool may_stop = it.phase == dispatch_phase::waiting || it.request.is_idempotent;
    return may_stop && context.now - it.orphaned >= kept;
}

} // namespace

void send_answer(agent_context& context, agent_dispatch& value)
{
    if (value.link == 0) {
        return;
    }
    const request_id id = value.request.id;
    while (const auto part = value.answer.take_next(max_part_bytes, context.options.send_window_bytes)) {
        context.send(value.link,
                     part_message{id, value.request.attempt, part->offset, std::string{part->bytes}});
    }
    const bool is_over = value.phase == dispatch_phase::ended && value.answer.is_all_sent();
    if (is_over && !value.is_end_sent) {
        send_end(context, value);
    }
}

void on_ack(agent_context& context, link_id link, const ack_message& value)
{
    agent_dispatch* const known = context.dispatches.find(value.id);
    if (known == nullptr || known->link != link || known->request.attempt != value.attempt) {
        return;
    }
    known->answer.acknowledge(value.offset);
    known->last_acknowledged = context.now;
    if (value.is_final && known->phase == dispatch_phase::ended) {
        drop(context, *known);
        return;
    }
    send_answer(context, *known);
}

void on_resolve(agent_context& context, link_id link, const resolve_message& value)
{
    const agent_link* const from = context.links.find(link);
    if (from == nullptr) {
        return;
    }
    if (!from->peer || from->peer->incarnation != value.id.origin()) {
        context.reject_link(link, "a resolve of another entry incarnation");
        return;
    }
    if (from->is_superseded) {
        return;
    }
    agent_dispatch* const known = context.dispatches.find(value.id);
    const dispatch_state state =
        known == nullptr ? state_without_dispatch(context, value) : state_of(context, *known, value);
    context.send(link, resolved_message{value.id, value.attempt, state});
    const bool is_here = state == dispatch_state::running || state == dispatch_state::ended;
    if (!is_here) {
        return;
    }
    assert(known != nullptr);
    known->link = link;
    known->is_end_sent = false;
    known->answer.resend_from(value.offset);
    if (known->head) {
        context.send(link, *known->head);
    }
    send_answer(context, *known);
}

void settle(agent_context& context, agent_dispatch& value, verdict outcome, double cost)
{
    context.selector.charge(value.request.client_account, cost - value.charged);
    value.charged = cost;
    value.units = cost;
    value.outcome = outcome;
    context.dispatches.set_ended(value, context.now);
    context.count("hemlocknotch_dispatches_total", "verdict", to_string(outcome));
    context.add(span_effect{value.request.id, "endpoint", value.started, value.ended,
                            value.request.traceparent, value.request.account_name, value.request.profile,
                            std::string{to_string(outcome)}});
}

void end_uncertain(agent_context& context, agent_dispatch& value, refusal_code code)
{
    value.code = code;
    settle(context, value, verdict::may_have_run, value.units);
    context.log(log_level::warning, "answer-cut",
                {{"request_id", value.request.id.to_string()},
                 {"client_account", value.request.account_name},
                 {"profile", value.request.profile},
                 {"code", std::string{to_string(code)}}});
    send_answer(context, value);
}

void end_without_answer(agent_context& context, link_id link, const request_id& id, std::uint32_t attempt)
{
    end_message end;
    end.id = id;
    end.attempt = attempt;
    end.outcome = verdict::may_have_run;
    end.code = refusal_code::internal_limit;
    context.send(link, end);
}

void drop(agent_context& context, agent_dispatch& value)
{
    const request_id id = value.request.id;
    const std::uint32_t attempt = value.request.attempt;
    const bool has_waited = value.phase == dispatch_phase::waiting;
    if (value.call != 0) {
        context.add(stop_call_effect{value.call, id, true});
    }
    if (value.phase == dispatch_phase::running) {
        settle(context, value, verdict::may_have_run, value.units);
    }
    if (has_waited) {
        context.selector.charge(value.request.client_account, -value.charged);
    }
    context.dispatches.remove(id);
    context.tombstones.add(id, has_waited ? tombstone_kind::not_run : tombstone_kind::forgotten, attempt,
                           context.now);
}

void drop_abandoned(agent_context& context)
{
    const auto is_wanted = [&](const agent_dispatch& it) { return is_abandoned(context, it); };
    for (const request_id& id : context.dispatches.select(is_wanted)) {
        context.log(log_level::warning, "answer-abandoned", {{"request_id", id.to_string()}});
        drop(context, *context.dispatches.find(id));
    }
}

void end_everything(agent_context& context)
{
    const auto is_any = [](const agent_dispatch& /*it*/) { return true; };
    for (const request_id& id : context.dispatches.select(is_any)) {
        agent_dispatch& it = *context.dispatches.find(id);
        if (it.phase == dispatch_phase::waiting) {
            refuse_waiting(context, it, refusal_code::shutting_down);
        }
        else if (it.phase == dispatch_phase::running) {
            context.add(stop_call_effect{it.call, id, it.request.is_idempotent});
            end_uncertain(context, it, refusal_code::shutting_down);
        }
    }
}

} // namespace hemlocknotch::agent
