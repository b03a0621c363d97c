#include "caller_handler.hpp"

#include <algorithm>
#include <cassert>
#include <string>

namespace hemlocknotch {
namespace {

constexpr duration other_instance_retry_after = std::chrono::seconds{1};
constexpr duration store_retry_after = std::chrono::seconds{1};

refusal refused(refusal_code code, duration retry_after = {})
{
    return refusal{code, verdict::not_run, retry_after};
}

} // namespace

void caller_handler::on_request(entry_step& step, const caller_request_event& value)
{
    const request_id id{data_.options.identity.incarnation, ++data_.last_sequence};
    const std::optional<refusal> reason = check(step, value);
    if (reason) {
        step.count_labelled("hemlocknotch_requests_total", "verdict", to_string(reason->outcome));
        step.count_labelled("hemlocknotch_refusals_total", "code", to_string(reason->code));
        step.emit(log_effect{log_level::info,
                             "request-refused",
                             {{"request_id", id.to_string()},
                              {"client_account", value.client_account},
                              {"profile", value.profile},
                              {"code", std::string{to_string(reason->code)}},
                              {"verdict", std::string{to_string(reason->outcome)}}}});
        step.emit(reply_refusal_effect{value.exchange, id, *reason});
        return;
    }
    data_.budget.on_request();
    entry_request& request = data_.requests.add(create_request(step, id, value));
    if (request.idempotency_key.empty()) {
        dispatcher_.enqueue(step, request);
        return;
    }
    request.is_claim_pending = true;
    step.emit(claim_key_effect{id, request.account_name, request.idempotency_key});
}

std::optional<refusal> caller_handler::check(const entry_step& step, const caller_request_event& value) const
{
    const configuration_ptr& current = data_.configuration.current();
    if (current == nullptr) {
        return refused(refusal_code::no_configuration, other_instance_retry_after);
    }
    if (current->find_client_account(value.client_account) == nullptr) {
        return refused(refusal_code::unknown_client_account);
    }
    const profile_definition* const profile = current->find_profile(value.profile);
    if (profile == nullptr || current->find_service(profile->service) == nullptr) {
        return refused(refusal_code::unknown_profile);
    }
    // A body larger than `max_held_bytes` can never be accepted, so it must not be refused with a code that
    // suggests a retry.
    if (value.body.size() > std::min<std::uint64_t>(profile->max_body_bytes, data_.options.max_held_bytes)) {
        return refused(refusal_code::body_too_large);
    }
    if (data_.is_draining) {
        return refused(refusal_code::shutting_down, other_instance_retry_after);
    }
    if (data_.is_out_of_service()) {
        return refused(refusal_code::out_of_service, other_instance_retry_after);
    }
    if (!data_.reachability.is_reachable(step.now())) {
        return refused(refusal_code::out_of_reach, other_instance_retry_after);
    }
    return check_limits(step, value);
}

std::optional<refusal> caller_handler::check_limits(const entry_step& step,
                                                    const caller_request_event& value) const
{
    const entry_options& options = data_.options;
    const request_table& requests = data_.requests;
    const std::size_t waiting = requests.waiting() + data_.abandoned_claims.size();
    // Dispatched requests may return to the queue, so their number is limited as well.
    const bool is_full = waiting >= options.max_waiting || requests.size() >= 2 * options.max_waiting ||
                         requests.held_bytes() + value.body.size() > options.max_held_bytes;
    if (is_full) {
        return refused(refusal_code::queue_full, data_.rate.time_for_all(waiting, step.now()));
    }
    const auto key = account_key::of(value.client_account);
    const std::size_t of_account = requests.waiting_of(key);
    if (of_account >= options.max_waiting_per_account) {
        return refused(refusal_code::account_queue_full,
                       data_.rate.time_for_account(key, of_account, step.now()));
    }
    return std::nullopt;
}

std::unique_ptr<entry_request> caller_handler::create_request(const entry_step& step, const request_id& id,
                                                              const caller_request_event& value) const
{
    const configuration_ptr& current = data_.configuration.current();
    const profile_definition* const profile = current->find_profile(value.profile);
    assert(profile != nullptr);
    const service_definition* const service = current->find_service(profile->service);
    assert(service != nullptr);
    auto created = std::make_unique<entry_request>();
    created->id = id;
    created->exchange = value.exchange;
    created->account_name = value.client_account;
    created->client_account = account_key::of(value.client_account);
    created->accepted_under = current;
    created->profile = profile;
    created->service = service->key;
    created->idempotency_key = value.idempotency_key;
    created->cost_hint = value.cost_hint;
    created->estimated_cost = data_.estimator.estimate(profile->name, created->client_account,
                                                       value.cost_hint, service->initial_estimate);
    created->arrived = step.now();
    created->queued_at = step.now();
    created->deadline = step.now() + std::min(value.deadline.value_or(profile->deadline), profile->deadline);
    created->timer_at = created->deadline;
    created->prefix = value.prefix;
    created->method = value.method;
    created->target = value.target;
    created->headers = value.headers;
    created->body = value.body;
    created->traceparent = value.traceparent;
    created->state = request_state::claiming;
    return created;
}

void caller_handler::on_claim_result(entry_step& step, const claim_result_event& value)
{
    const auto abandoned = data_.abandoned_claims.find(value.id);
    if (abandoned != data_.abandoned_claims.end()) {
        const claim_key_effect claim = abandoned->second;
        data_.abandoned_claims.erase(abandoned);
        if (value.outcome != claim_outcome::held_by_other) {
            step.emit(settle_claim_effect{claim.id, claim.client_account, claim.key, verdict::not_run});
        }
        return;
    }
    entry_request* const request = data_.requests.find(value.id);
    if (request == nullptr || !request->is_claim_pending) {
        return;
    }
    request->is_claim_pending = false;
    request->is_claimed = value.outcome != claim_outcome::held_by_other;
    switch (value.outcome) {
    case claim_outcome::won:
        dispatcher_.enqueue(step, *request);
        return;
    case claim_outcome::held_by_other:
        finisher_.refuse(step, *request, refusal_code::idempotency_key_in_use, verdict::not_run);
        return;
    case claim_outcome::unavailable:
        // The claim may have been written nevertheless, so it is released.
        finisher_.refuse(step, *request, refusal_code::idempotency_store_unavailable, verdict::not_run,
                         store_retry_after);
        return;
    }
}

void caller_handler::on_progress(entry_step& step, const caller_progress_event& value)
{
    entry_request* const request = data_.requests.find_exchange(value.exchange);
    if (request == nullptr) {
        return;
    }
    request->answer.on_sent(value.sent_bytes);
    if (request->is_outstanding()) {
        outcomes_.acknowledge(step, *request);
    }
}

void caller_handler::on_disconnected(entry_step& step, const caller_disconnected_event& value)
{
    entry_request* const request = data_.requests.find_exchange(value.exchange);
    if (request == nullptr) {
        return;
    }
    if (!request->is_outstanding()) {
        finisher_.drop(step, *request, verdict::not_run);
        return;
    }
    if (request->is_claimed && !request->profile->is_idempotent) {
        // Tracked until it ends, so that the claim is settled with the actual verdict.
        data_.requests.detach_caller(*request);
        request->answer.on_sent(request->answer.received());
        outcomes_.acknowledge(step, *request);
        return;
    }
    outgoing_link* const link = data_.links.find(request->link);
    if (link != nullptr && link->is_open) {
        link_table::send(step, *link, cancel_message{request->id, request->attempt});
    }
    finisher_.drop(step, *request, verdict::may_have_run);
}

} // namespace hemlocknotch
