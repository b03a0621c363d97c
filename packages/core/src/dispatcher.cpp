#include "dispatcher.hpp"

#include "agent_choice.hpp"
#include "demand_reporter.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace hemlocknotch {
namespace {

submit_message submit_of(const entry_request& value, std::uint64_t grant, instant now)
{
    return submit_message{.id = value.id,
                          .attempt = value.attempt,
                          .grant = grant,
                          .client_account = value.client_account,
                          .account_name = value.account_name,
                          .profile = value.profile->name,
                          .is_idempotent = value.profile->is_idempotent,
                          .is_resumable = value.profile->is_resumable,
                          .estimated_cost = value.estimated_cost,
                          .time_to_deadline = value.deadline - now,
                          .prefix = value.prefix,
                          .offset = value.answer.received(),
                          .method = value.method,
                          .target = value.target,
                          .headers = value.headers,
                          .body = value.body,
                          .traceparent = value.traceparent};
}

} // namespace

void dispatcher::enqueue(entry_step& step, entry_request& value)
{
    assert(value.state != request_state::waiting);
    if (!value.pinned_agent.empty()) {
        enqueue_pinned(step, value);
        return;
    }
    waiting_queue& queue = data_.queues[value.service];
    data_.requests.set_state(value, request_state::waiting);
    data_.requests.set_timer(value, value.deadline);
    value.queued_at = step.now();
    const bool is_first = queue.empty();
    queue.add(value);
    outgoing_link* const link = is_first ? choose_agent(step, value) : nullptr;
    if (link != nullptr) {
        --link->free_slots;
        submit(step, value, *link, 0);
    }
}

void dispatcher::enqueue_pinned(entry_step& step, entry_request& value)
{
    outgoing_link* const link = data_.links.usable_link_to(value.pinned_agent);
    if (link == nullptr || !link->is_open) {
        delay(step, value, 1);
        return;
    }
    data_.requests.set_state(value, request_state::waiting);
    data_.queues[value.service].add(value);
    submit(step, value, *link, 0);
}

void dispatcher::delay(entry_step& step, entry_request& value, unsigned n)
{
    assert(value.state != request_state::waiting);
    data_.requests.set_state(value, request_state::delayed);
    const duration delay_time =
        jittered_backoff(data_.options.retry_backoff, max_backoff, n, step.random().next_fraction());
    data_.requests.set_timer(value, std::min(value.deadline, step.now() + delay_time));
}

void dispatcher::on_grant(entry_step& step, outgoing_link& link, const grant_message& value)
{
    link.cached_prefixes = value.cached_prefixes;
    entry_request* const chosen =
        entry_data::may_send_work(link)
            ? data_.queues[link.service].choose(value.client_account, value.cached_prefixes)
            : nullptr;
    if (chosen == nullptr) {
        on_grant_declined(link.reported, value.client_account);
        link_table::send(step, link, decline_message{value.grant});
        return;
    }
    on_grant_used(link.reported, value.client_account);
    submit(step, *chosen, link, value.grant);
}

void dispatcher::on_free_slots(entry_step& step, outgoing_link& link, const free_slots_message& value)
{
    link.free_slots = value.free_slots;
    link.is_draining = value.is_draining;
    while (link.free_slots > 0 && entry_data::may_send_work(link)) {
        entry_request* const next = least_served(link.service, link);
        if (next == nullptr) {
            return;
        }
        --link.free_slots;
        submit(step, *next, link, 0);
    }
}

entry_request* dispatcher::least_served(account_key service, const outgoing_link& link)
{
    waiting_queue& queue = data_.queues[service];
    const auto ledger = data_.ledgers.find(service);
    const configuration& current = *data_.configuration.current();
    account_key lowest;
    double lowest_counter = 0.0;
    bool is_found = false;
    for (const account_key it : queue.backlogged()) {
        const double counter =
            ledger == data_.ledgers.end() ? 0.0 : ledger->second.counter(it, current.weight_of(it));
        if (!is_found || counter < lowest_counter) {
            lowest = it;
            lowest_counter = counter;
            is_found = true;
        }
    }
    return is_found ? queue.choose(lowest, link.cached_prefixes) : nullptr;
}

outgoing_link* dispatcher::choose_agent(entry_step& step, const entry_request& value)
{
    std::vector<outgoing_link*> with_free_slots;
    for (auto& [id, link] : data_.links.links()) {
        if (link.free_slots > 0 && link.service == value.service && entry_data::may_send_work(link)) {
            with_free_slots.push_back(&link);
        }
    }
    return choose_agent_without_grant(with_free_slots, value.prefix, data_.options.failure_domain,
                                      step.random());
}

void dispatcher::submit(entry_step& step, entry_request& value, outgoing_link& link, std::uint64_t grant)
{
    assert(value.state == request_state::waiting);
    data_.queues[value.service].remove(value);
    ++value.attempt;
    value.agent = link.peer;
    value.link = link.id;
    value.is_resolving = false;
    value.dispatched_at = step.now();
    value.dispatched_from = value.answer.received();
    value.last_activity = step.now();
    data_.requests.set_state(value, request_state::dispatched);
    data_.requests.set_timer(value, step.now() + data_.options.resolve_limit);
    link_table::send(step, link, submit_of(value, grant, step.now()));
    data_.rate.on_dispatch(value.client_account, step.now());
    const std::chrono::duration<double> waited = step.now() - value.arrived;
    step.emit(metric_effect{metric_kind::histogram, "hemlocknotch_wait_seconds", "client_account",
                            value.account_name, waited.count()});
    step.emit(span_effect{value.id, "entry-queue", value.queued_at, step.now(), value.traceparent,
                          value.account_name, value.profile->name, link.peer.name});
}

} // namespace hemlocknotch
