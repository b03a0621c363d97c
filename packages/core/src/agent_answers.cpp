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
constexpr int connected_factor = 4;

void send_end(agent_parts& parts, agent_dispatch& value)
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
    parts.send(value.link, end);
}

dispatch_state state_without_dispatch(agent_parts& parts, const resolve_message& value)
{
    const auto stone = parts.tombstones.find(value.id);
    if (stone && value.attempt <= stone->attempt) {
        const bool is_refused = value.attempt == stone->attempt && stone->kind == tombstone_kind::not_run;
        return is_refused ? dispatch_state::never_seen : dispatch_state::forgotten;
    }
    if (!stone && parts.tombstones.is_doubtful(value.id)) {
        return dispatch_state::forgotten;
    }
    parts.tombstones.add(value.id, tombstone_kind::not_run, value.attempt, parts.now);
    return dispatch_state::never_seen;
}

/// Returns the state of a dispatch that the table holds, of which attempt `value.attempt` is asked for.
dispatch_state state_of(agent_parts& parts, agent_dispatch& known, const resolve_message& value)
{
    if (value.attempt > known.request.attempt) {
        parts.tombstones.add(value.id, tombstone_kind::not_run, value.attempt, parts.now);
        return dispatch_state::never_seen;
    }
    if (value.attempt < known.request.attempt || value.offset > known.answer.end()) {
        return dispatch_state::forgotten;
    }
    return known.phase == dispatch_phase::ended ? dispatch_state::ended : dispatch_state::running;
}

bool is_abandoned(const agent_parts& parts, const agent_dispatch& it)
{
    const duration kept = parts.options.answer_kept;
    if (it.link != 0) {
        const instant last = std::max(it.ended, it.last_acknowledged);
        return it.phase == dispatch_phase::ended && parts.now - last >= kept * connected_factor;
    }
    if (it.phase == dispatch_phase::ended) {
        return parts.now - std::max(it.ended, it.orphaned) >= kept;
    }
    const bool may_stop = it.phase == dispatch_phase::waiting || it.request.is_idempotent;
    return may_stop && parts.now - it.orphaned >= kept;
}

} // namespace

void send_answer(agent_parts& parts, agent_dispatch& value)
{
    if (value.link == 0) {
        return;
    }
    const request_id id = value.request.id;
    while (const auto part = value.answer.take_next(max_part_bytes, parts.options.send_window_bytes)) {
        parts.send(value.link,
                   part_message{id, value.request.attempt, part->offset, std::string{part->bytes}});
    }
    const bool is_over = value.phase == dispatch_phase::ended && value.answer.is_all_sent();
    if (is_over && !value.is_end_sent) {
        send_end(parts, value);
    }
}

void on_ack(agent_parts& parts, link_id link, const ack_message& value)
{
    agent_dispatch* const known = parts.dispatches.find(value.id);
    if (known == nullptr || known->link != link || known->request.attempt != value.attempt) {
        return;
    }
    known->answer.acknowledge(value.offset);
    known->last_acknowledged = parts.now;
    if (value.is_final && known->phase == dispatch_phase::ended) {
        drop(parts, *known);
        return;
    }
    send_answer(parts, *known);
}

void on_resolve(agent_parts& parts, link_id link, const resolve_message& value)
{
    const agent_link* const from = parts.links.find(link);
    if (from == nullptr) {
        return;
    }
    if (!from->peer || from->peer->incarnation != value.id.origin()) {
        parts.reject_link(link, "a resolve of another entry incarnation");
        return;
    }
    if (from->is_superseded) {
        return;
    }
    agent_dispatch* const known = parts.dispatches.find(value.id);
    const dispatch_state state =
        known == nullptr ? state_without_dispatch(parts, value) : state_of(parts, *known, value);
    parts.send(link, resolved_message{value.id, value.attempt, state});
    const bool is_here = state == dispatch_state::running || state == dispatch_state::ended;
    if (!is_here) {
        return;
    }
    assert(known != nullptr);
    known->link = link;
    known->is_end_sent = false;
    known->answer.send_again_from(value.offset);
    if (known->head) {
        parts.send(link, *known->head);
    }
    send_answer(parts, *known);
}

void settle(agent_parts& parts, agent_dispatch& value, verdict outcome, double cost)
{
    parts.selector.charge(value.request.client_account, cost - value.charged);
    value.charged = cost;
    value.units = cost;
    value.outcome = outcome;
    parts.dispatches.set_ended(value, parts.now);
    parts.count("hemlocknotch_dispatches_total", "verdict", to_string(outcome));
    parts.add(span_effect{value.request.id, "endpoint", value.started, value.ended, value.request.traceparent,
                          value.request.account_name, value.request.profile,
                          std::string{to_string(outcome)}});
}

void end_uncertain(agent_parts& parts, agent_dispatch& value, refusal_code code)
{
    value.code = code;
    settle(parts, value, verdict::may_have_run, value.units);
    parts.log(log_level::warning, "answer-cut",
              {{"request_id", value.request.id.to_string()},
               {"client_account", value.request.account_name},
               {"profile", value.request.profile},
               {"code", std::string{to_string(code)}}});
    send_answer(parts, value);
}

void end_without_answer(agent_parts& parts, link_id link, const request_id& id, std::uint32_t attempt)
{
    end_message end;
    end.id = id;
    end.attempt = attempt;
    end.outcome = verdict::may_have_run;
    end.code = refusal_code::internal_limit;
    parts.send(link, end);
}

void drop(agent_parts& parts, agent_dispatch& value)
{
    const request_id id = value.request.id;
    const std::uint32_t attempt = value.request.attempt;
    const bool has_waited = value.phase == dispatch_phase::waiting;
    if (value.call != 0) {
        parts.add(stop_call_effect{value.call, id, true});
    }
    if (value.phase == dispatch_phase::running) {
        settle(parts, value, verdict::may_have_run, value.units);
    }
    if (has_waited) {
        parts.selector.charge(value.request.client_account, -value.charged);
    }
    parts.dispatches.remove(id);
    parts.tombstones.add(id, has_waited ? tombstone_kind::not_run : tombstone_kind::forgotten, attempt,
                         parts.now);
}

void drop_abandoned(agent_parts& parts)
{
    const auto is_wanted = [&](const agent_dispatch& it) { return is_abandoned(parts, it); };
    for (const request_id& id : parts.dispatches.select(is_wanted)) {
        parts.log(log_level::warning, "answer-abandoned", {{"request_id", id.to_string()}});
        drop(parts, *parts.dispatches.find(id));
    }
}

void end_everything(agent_parts& parts)
{
    const auto is_any = [](const agent_dispatch& /*it*/) { return true; };
    for (const request_id& id : parts.dispatches.select(is_any)) {
        agent_dispatch& it = *parts.dispatches.find(id);
        if (it.phase == dispatch_phase::waiting) {
            refuse_waiting(parts, it, refusal_code::shutting_down);
        }
        else if (it.phase == dispatch_phase::running) {
            parts.add(stop_call_effect{it.call, id, it.request.is_idempotent});
            end_uncertain(parts, it, refusal_code::shutting_down);
        }
    }
}

} // namespace hemlocknotch::agent
