#include "agent_submits.hpp"

#include "agent_answers.hpp"
#include "agent_grants.hpp"
#include "agent_lifecycle.hpp"

#include <cassert>
#include <string>
#include <utility>

namespace hemlocknotch::agent {
namespace {

/// What the records of earlier dispatches say about a submit.
enum class duplicate_check : std::uint8_t {
    /// No earlier dispatch stands against it.
    is_new,
    /// A copy of one that is known; its answer is on its way or was given.
    is_copy,
    /// It was refused or resolved as never seen before: say so again.
    was_refused,
    /// It, or an earlier dispatch of a request that may not be repeated, may have run.
    may_have_run,
};

void refuse(agent_context& context, link_id link, const request_id& id, std::uint32_t attempt,
            refusal_code code)
{
    context.tombstones.add(id, tombstone_kind::not_run, attempt, context.now);
    context.count("hemlocknotch_refusals_total", "code", to_string(code));
    context.send(link, refuse_message{id, attempt, code, {}});
}

duplicate_check check_known_dispatch(agent_context& context, const submit_message& value,
                                     const agent_dispatch& known)
{
    if (value.attempt <= known.request.attempt) {
        return duplicate_check::is_copy;
    }
    if (!known.request.is_idempotent) {
        context.log(log_level::error, "unsafe-retry", {{"request_id", value.id.to_string()}});
        return duplicate_check::may_have_run;
    }
    return duplicate_check::is_new;
}

duplicate_check check_duplicate(agent_context& context, const submit_message& value, bool has_live_grant)
{
    if (const agent_dispatch* const known = context.dispatches.find(value.id)) {
        return check_known_dispatch(context, value, *known);
    }
    if (const auto record = context.tombstones.find(value.id)) {
        if (value.attempt <= record->attempt) {
            const bool is_same = value.attempt == record->attempt;
            const bool is_refused = is_same && record->kind == tombstone_kind::not_run;
            return is_refused ? duplicate_check::was_refused : duplicate_check::is_copy;
        }
        const bool is_unsafe = record->kind == tombstone_kind::forgotten && !value.is_idempotent;
        return is_unsafe ? duplicate_check::may_have_run : duplicate_check::is_new;
    }
    // A grant is used once, so a dispatch that brings a live one has not been here before.
    const bool may_have_dropped = !has_live_grant && context.tombstones.may_have_dropped(value.id);
    return may_have_dropped ? duplicate_check::may_have_run : duplicate_check::is_new;
}

bool is_from_its_entry(agent_context& context, link_id link, const request_id& id)
{
    const agent_link* const it = context.links.find(link);
    if (it == nullptr) {
        return false;
    }
    if (!it->peer || it->peer->incarnation != id.origin()) {
        context.reject_link(link, "a request of another entry incarnation");
        return false;
    }
    return true;
}

/// Returns whether a submit that has no grant may be taken. One that goes on with an answer which has begun
/// waits for a place rather than being refused: its endpoint is at work on it already, and its caller holds a
/// part of the answer.
bool has_slot_for(const agent_context& context, const submit_message& value)
{
    const bool goes_on = value.offset > 0;
    return free_slots(context) > 0 || (goes_on && context.dispatches.waiting() < context.limit->limit());
}

std::optional<refusal_code> submit_refusal(const agent_context& context, const agent_link& link,
                                           const submit_message& value, bool has_grant)
{
    if (const auto reason = work_refusal(context)) {
        return reason;
    }
    if (value.time_to_deadline <= duration::zero()) {
        return refusal_code::deadline_passed;
    }
    if (value.grant != 0 && !has_grant) {
        return refusal_code::grant_expired;
    }
    if (link.is_superseded || (!has_grant && !has_slot_for(context, value))) {
        return refusal_code::no_room;
    }
    return std::nullopt;
}

void accept(agent_context& context, link_id link, const submit_message& value)
{
    agent_dispatch& it = context.dispatches.add(agent_dispatch{value, link, context.now});
    it.reserve = context.selector.reserve_for(value.estimated_cost);
    it.charged = it.reserve;
    context.selector.charge(value.client_account, it.charged);
}

void start(agent_context& context, agent_dispatch& value)
{
    context.dispatches.set_running(value, context.now);
    context.dispatches.begin_call(value, value.request.offset, context.now);
    submit_message& request = value.request;
    context.add(start_call_effect{value.call, request.id, request.offset, std::move(request.method),
                                  std::move(request.target), std::move(request.headers),
                                  std::move(request.body), request.traceparent});
    context.add(span_effect{request.id, "agent-queue", value.accepted, value.started, request.traceparent,
                            request.account_name, request.profile, "started"});
}

} // namespace

void on_submit(agent_context& context, link_id link, const submit_message& value)
{
    if (!is_from_its_entry(context, link, value.id)) {
        return;
    }
    agent_link& from = *context.links.find(link);
    const auto grant = context.grants.take(value.grant, link, context.now);
    if (grant) {
        context.selector.charge(grant->client_account, -grant->charged);
        context.demand.on_used(link, grant->client_account, context.now);
        context.count("hemlocknotch_grants_total", "outcome", "used");
    }
    if (value.grant == 0 && from.advertised_slots > 0) {
        --from.advertised_slots;
    }
    switch (check_duplicate(context, value, grant.has_value())) {
    case duplicate_check::is_copy:
        return;
    case duplicate_check::was_refused:
        refuse(context, link, value.id, value.attempt, refusal_code::no_room);
        return;
    case duplicate_check::may_have_run:
        end_without_answer(context, link, value.id, value.attempt);
        return;
    case duplicate_check::is_new:
        break;
    }
    if (agent_dispatch* const earlier = context.dispatches.find(value.id)) {
        drop(context, *earlier);
    }
    if (const auto reason = submit_refusal(context, from, value, grant.has_value())) {
        refuse(context, link, value.id, value.attempt, *reason);
        return;
    }
    accept(context, link, value);
}

void on_cancel(agent_context& context, link_id link, const cancel_message& value)
{
    if (!is_from_its_entry(context, link, value.id)) {
        return;
    }
    agent_dispatch* const known = context.dispatches.find(value.id);
    if (known == nullptr || value.attempt > known->request.attempt) {
        const auto record = context.tombstones.find(value.id);
        if (!record && known == nullptr && context.tombstones.may_have_dropped(value.id)) {
            end_without_answer(context, link, value.id, value.attempt);
        }
        else if (!record || record->attempt < value.attempt) {
            refuse(context, link, value.id, value.attempt, refusal_code::cancelled);
        }
        return;
    }
    if (value.attempt < known->request.attempt) {
        return;
    }
    if (known->phase == dispatch_phase::waiting) {
        refuse_waiting(context, *known, refusal_code::cancelled);
    }
    else if (known->request.is_idempotent || known->phase == dispatch_phase::ended) {
        drop(context, *known);
    }
}

void start_waiting(agent_context& context)
{
    while (context.dispatches.running() < context.limit->limit()) {
        agent_dispatch* const next = context.dispatches.first_waiting();
        if (next == nullptr) {
            return;
        }
        if (next->deadline() <= context.now) {
            refuse_waiting(context, *next, refusal_code::deadline_passed);
        }
        else {
            start(context, *next);
        }
    }
}

void refuse_waiting(agent_context& context, agent_dispatch& value, refusal_code code)
{
    assert(value.phase == dispatch_phase::waiting);
    const request_id id = value.request.id;
    const std::uint32_t attempt = value.request.attempt;
    const link_id link = value.link;
    context.selector.charge(value.request.client_account, -value.charged);
    context.dispatches.remove(id);
    refuse(context, link, id, attempt, code);
}

} // namespace hemlocknotch::agent
