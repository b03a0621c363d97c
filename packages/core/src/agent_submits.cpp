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
enum class copy_check : std::uint8_t {
    /// No earlier dispatch stands against it.
    is_new,
    /// A copy of one that is known; its answer is on its way or was given.
    is_copy,
    /// It was refused or resolved as never seen before: say so again.
    was_refused,
    /// It, or an earlier dispatch of a request that may not be repeated, may have run.
    may_have_run,
};

void refuse(agent_parts& parts, link_id link, const request_id& id, std::uint32_t attempt, refusal_code code)
{
    parts.tombstones.add(id, tombstone_kind::not_run, attempt, parts.now);
    parts.count("hemlocknotch_refusals_total", "code", to_string(code));
    parts.send(link, refuse_message{id, attempt, code, {}});
}

copy_check check_against_known(agent_parts& parts, const submit_message& value, const agent_dispatch& known)
{
    if (value.attempt <= known.request.attempt) {
        return copy_check::is_copy;
    }
    if (!known.request.is_idempotent) {
        parts.log(log_level::error, "unsafe-retry", {{"request_id", value.id.to_string()}});
        return copy_check::may_have_run;
    }
    return copy_check::is_new;
}

copy_check check_copy(agent_parts& parts, const submit_message& value, bool has_live_grant)
{
    if (const agent_dispatch* const known = parts.dispatches.find(value.id)) {
        return check_against_known(parts, value, *known);
    }
    if (const auto stone = parts.tombstones.find(value.id)) {
        if (value.attempt <= stone->attempt) {
            const bool is_same = value.attempt == stone->attempt;
            const bool is_refused = is_same && stone->kind == tombstone_kind::not_run;
            return is_refused ? copy_check::was_refused : copy_check::is_copy;
        }
        const bool is_unsafe = stone->kind == tombstone_kind::forgotten && !value.is_idempotent;
        return is_unsafe ? copy_check::may_have_run : copy_check::is_new;
    }
    // A grant is used once, so a dispatch that brings a live one has not been here before.
    const bool is_doubtful = !has_live_grant && parts.tombstones.is_doubtful(value.id);
    return is_doubtful ? copy_check::may_have_run : copy_check::is_new;
}

bool is_from_its_entry(agent_parts& parts, link_id link, const request_id& id)
{
    const agent_link* const it = parts.links.find(link);
    if (it == nullptr) {
        return false;
    }
    if (!it->peer || it->peer->incarnation != id.origin()) {
        parts.reject_link(link, "a request of another entry incarnation");
        return false;
    }
    return true;
}

/// Returns whether a submit that has no grant may be taken. One that goes on with an answer which has begun
/// waits for a place rather than being refused: its endpoint is at work on it already, and its caller holds a
/// part of the answer.
bool has_room_for(const agent_parts& parts, const submit_message& value)
{
    const bool goes_on = value.offset > 0;
    return free_places(parts) > 0 || (goes_on && parts.dispatches.waiting() < parts.limit->limit());
}

std::optional<refusal_code> reason_against(const agent_parts& parts, const agent_link& link,
                                           const submit_message& value, bool has_grant)
{
    if (const auto reason = reason_against_work(parts)) {
        return reason;
    }
    if (value.time_to_deadline <= duration::zero()) {
        return refusal_code::deadline_passed;
    }
    if (value.grant != 0 && !has_grant) {
        return refusal_code::grant_expired;
    }
    if (link.is_superseded || (!has_grant && !has_room_for(parts, value))) {
        return refusal_code::no_room;
    }
    return std::nullopt;
}

void accept(agent_parts& parts, link_id link, const submit_message& value)
{
    agent_dispatch& it = parts.dispatches.add(agent_dispatch{value, link, parts.now});
    it.reserve = parts.selector.reserve_for(value.estimated_cost);
    it.charged = it.reserve;
    parts.selector.charge(value.client_account, it.charged);
}

void start(agent_parts& parts, agent_dispatch& value)
{
    parts.dispatches.set_running(value, parts.now);
    parts.dispatches.begin_call(value, value.request.offset, parts.now);
    submit_message& request = value.request;
    parts.add(start_call_effect{value.call, request.id, request.offset, std::move(request.method),
                                std::move(request.target), std::move(request.headers),
                                std::move(request.body), request.traceparent});
    parts.add(span_effect{request.id, "agent-queue", value.accepted, value.started, request.traceparent,
                          request.account_name, request.profile, "started"});
}

} // namespace

void on_submit(agent_parts& parts, link_id link, const submit_message& value)
{
    if (!is_from_its_entry(parts, link, value.id)) {
        return;
    }
    agent_link& from = *parts.links.find(link);
    const auto grant = parts.grants.take(value.grant, link, parts.now);
    if (grant) {
        parts.selector.charge(grant->client_account, -grant->charged);
        parts.demand.on_used(link, grant->client_account, parts.now);
        parts.count("hemlocknotch_grants_total", "outcome", "used");
    }
    if (value.grant == 0 && from.room_told > 0) {
        --from.room_told;
    }
    switch (check_copy(parts, value, grant.has_value())) {
    case copy_check::is_copy:
        return;
    case copy_check::was_refused:
        refuse(parts, link, value.id, value.attempt, refusal_code::no_room);
        return;
    case copy_check::may_have_run:
        end_without_answer(parts, link, value.id, value.attempt);
        return;
    case copy_check::is_new:
        break;
    }
    if (agent_dispatch* const earlier = parts.dispatches.find(value.id)) {
        drop(parts, *earlier);
    }
    if (const auto reason = reason_against(parts, from, value, grant.has_value())) {
        refuse(parts, link, value.id, value.attempt, *reason);
        return;
    }
    accept(parts, link, value);
}

void on_cancel(agent_parts& parts, link_id link, const cancel_message& value)
{
    if (!is_from_its_entry(parts, link, value.id)) {
        return;
    }
    agent_dispatch* const known = parts.dispatches.find(value.id);
    if (known == nullptr || value.attempt > known->request.attempt) {
        const auto stone = parts.tombstones.find(value.id);
        if (!stone && known == nullptr && parts.tombstones.is_doubtful(value.id)) {
            end_without_answer(parts, link, value.id, value.attempt);
        }
        else if (!stone || stone->attempt < value.attempt) {
            refuse(parts, link, value.id, value.attempt, refusal_code::cancelled);
        }
        return;
    }
    if (value.attempt < known->request.attempt) {
        return;
    }
    if (known->phase == dispatch_phase::waiting) {
        refuse_waiting(parts, *known, refusal_code::cancelled);
    }
    else if (known->request.is_idempotent || known->phase == dispatch_phase::ended) {
        drop(parts, *known);
    }
}

void start_waiting(agent_parts& parts)
{
    while (parts.dispatches.running() < parts.limit->limit()) {
        agent_dispatch* const next = parts.dispatches.first_waiting();
        if (next == nullptr) {
            return;
        }
        if (next->deadline() <= parts.now) {
            refuse_waiting(parts, *next, refusal_code::deadline_passed);
        }
        else {
            start(parts, *next);
        }
    }
}

void refuse_waiting(agent_parts& parts, agent_dispatch& value, refusal_code code)
{
    assert(value.phase == dispatch_phase::waiting);
    const request_id id = value.request.id;
    const std::uint32_t attempt = value.request.attempt;
    const link_id link = value.link;
    parts.selector.charge(value.request.client_account, -value.charged);
    parts.dispatches.remove(id);
    refuse(parts, link, id, attempt, code);
}

} // namespace hemlocknotch::agent
