#include <hemlocknotch/gateway/crash_breaker.hpp>
#include <hemlocknotch/gateway/rollout_table.hpp>
#include <hemlocknotch/gateway/router.hpp>
#include <hemlocknotch/gateway/stream_origins.hpp>

#include "call_table.hpp"
#include "caller_answers.hpp"
#include "endpoint_announcements.hpp"
#include "exchange.hpp"
#include "exchange_log.hpp"
#include "exchange_metrics.hpp"
#include "exchange_table.hpp"
#include "fleet_reports.hpp"
#include "request_target.hpp"
#include "retry_after.hpp"
#include "service_admission.hpp"
#include "unserved_end.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// Time limit of requests that give none.
constexpr duration default_caller_timeout = std::chrono::seconds{30};
/// Number of objectives without an answer after which a repeatable request is sent to a second endpoint.
constexpr double attempt_timeout_objectives = 1.5;

} // namespace

router::router(const router_options& options, const placement_policy& model_placement,
               const placement_policy& plain_placement, router_port& port)
    : options_{options},
      model_placement_{model_placement},
      plain_placement_{plain_placement},
      port_{port},
      endpoints_{options.seed, options.gateway},
      answer_memory_{options.answer_bytes},
      reports_{std::make_unique<fleet_reports>(endpoints_)},
      exchanges_{std::make_unique<exchange_table>()},
      answers_{std::make_unique<caller_answers>(port)},
      calls_{std::make_unique<call_table>(endpoints_, options_.output_weight, answer_memory_)},
      breaker_{std::make_unique<crash_breaker>(options_.gateway)},
      announcements_{std::make_unique<endpoint_announcements>(endpoints_, port)},
      origins_{std::make_unique<stream_origins>()},
      rollouts_{std::make_unique<rollout_table>(options_.gateway, options_.exposure_share)}
{
}

router::~router() = default;

void router::set_configuration(std::shared_ptr<const routing_configuration> configuration, instant now)
{
    assert(configuration);
    if (configuration_ && configuration->version() <= configuration_->version()) {
        return;
    }
    configuration_ = std::move(configuration);
    endpoints_.set_endpoints(records_, *configuration_, reports_->gateways(), now);
    offer_waiting(now);
}

void router::set_endpoints(std::span<const endpoint_record> records, instant now)
{
    records_.assign(records.begin(), records.end());
    origins_->set_endpoints(records, now);
    rollouts_->set_endpoints(records);
    if (configuration_) {
        endpoints_.set_endpoints(records_, *configuration_, reports_->gateways(), now);
        recall_from_leaving_endpoints(now);
        offer_waiting(now);
    }
}

void router::set_out_of_service(std::set<std::string, std::less<>> failure_domains)
{
    endpoints_.set_out_of_service(std::move(failure_domains));
}

void router::set_gateways(std::size_t gateways)
{
    reports_->set_gateways(gateways);
    for (auto& [name, it] : services_) {
        it->retries().set_gateways(gateways);
    }
}

service_admission& router::service_of(std::string_view name)
{
    const auto it = services_.find(name);
    if (it != services_.end()) {
        return *it->second;
    }
    return *services_
                .emplace(std::string{name},
                         std::make_unique<service_admission>(options_, reports_->gateways()))
                .first->second;
}

void router::on_request(exchange_id id, std::shared_ptr<const caller_request> request, instant now)
{
    ++answers_->counters().requests;
    auto created = std::make_unique<exchange>();
    created->id = id;
    created->request = std::move(request);
    created->arrived = now;
    auto& it = exchanges_->add(std::move(created));
    if (!configuration_) {
        return refuse(it, status_unavailable, "no-configuration", min_retry_after, now);
    }
    it.configuration = configuration_;
    it.matched = configuration_->find_route(it.request->host, it.request->target);
    if (it.matched == nullptr) {
        return refuse_unknown(it, status_not_found, "no-route", now);
    }
    it.priority = it.matched->priority;
    if (configuration_->has_accounts() && !it.matched->is_anonymous) {
        const auto* account = configuration_->find_account(it.request->fields.key);
        if (account == nullptr) {
            return refuse_unknown(it, status_unauthorized, "unknown-key", now);
        }
        it.account = account->name;
        it.priority = account->priority.value_or(it.priority);
    }
    const auto caller_timeout = it.request->fields.caller_timeout.value_or(default_caller_timeout);
    const auto timeout = it.matched->timeout;
    it.ends_at = now + (timeout > duration::zero() ? std::min(timeout, caller_timeout) : caller_timeout);
    if (exchanges_->size() > options_.max_exchanges) {
        return refuse(it, status_unavailable, "too-many-requests-open", min_retry_after, now);
    }
    // A stream that its caller takes up goes on at the service that began it.
    const auto& resumed = it.request->fields.resumed_request_id;
    it.service = choose_service(*it.matched, resumed.empty() ? it.id_text() : resumed);
    const auto* service = configuration_->find_service(it.service);
    it.is_model = service != nullptr && service->is_model_service;
    it.placement_input = placement_of(it.request->fields, options_.expected_output_share);
    it.cost = it.is_model ? it.placement_input.prompt_tokens +
                                options_.output_weight * it.placement_input.output_tokens
                          : 1.0;
    service_of(it.service).note_requested(it, now);
    record_request(port_, it);
    exchanges_->add_deadline(it, it.ends_at);
    if (!refuse_take_up(it, now)) {
        admit(it, now);
    }
}

void router::admit(exchange& it, instant now)
{
    if (refuse_before_stop(it, now)) {
        return;
    }
    if (const auto decision = decide_signatures(it, now); !decision.is_permitted()) {
        return refuse_signature(it, decision, now);
    }
    auto& service = service_of(it.service);
    // A stream that its caller takes up has been admitted before.
    const auto is_new = it.attempts == 0 && it.request->fields.resumed_request_id.empty();
    if (is_new && !service.admits(it, now)) {
        return refuse(it, status_unavailable, "over-share", min_retry_after, now);
    }
    // What waits has found no room, so a request that may not wait takes nothing from it.
    const auto may_send_now = service.queue().is_empty() || now >= service.send_by(it, now);
    if (may_send_now && try_send(it, now)) {
        return;
    }
    if (endpoints_.endpoint_count(it.service) == 0) {
        return refuse(it, status_unavailable, "no-endpoint", min_retry_after, now);
    }
    enqueue_or_refuse(it, now);
    if (!service.queue().is_empty()) {
        offer_waiting(now);
    }
}

void router::enqueue_or_refuse(exchange& it, instant now)
{
    auto& service = service_of(it.service);
    const auto send_by = service.send_by(it, now);
    const auto paused_until = endpoints_.end_of_pauses(it.service);
    if (paused_until > send_by && paused_until != instant::max()) {
        return refuse(it, status_unavailable, "endpoints-paused", {paused_until - now, true}, now);
    }
    if (const auto unsettled = versions_to_avoid(it, now);
        endpoints_.has_only_versions(it.service, unsettled)) {
        if (const auto settled = origins_->next_settled(now); settled > send_by) {
            return refuse(it, status_unavailable, "stream-version-unsettled", {settled - now, true}, now);
        }
    }
    const auto wait = service.estimated_wait(it, now);
    it.estimated_wait = wait;
    if (now >= send_by || now + wait > send_by) {
        return refuse(it, status_unavailable, "overloaded", std::max(wait, min_retry_after), now);
    }
    it.is_waiting = true;
    service.add_waiting(it, it.priority, send_by, now);
}

bool router::try_send(exchange& it, instant now)
{
    if (!decide_signatures(it, now).is_permitted()) {
        return false;
    }
    if (has_disconnected_unnoticed(it, now)) {
        it.is_waiting = false;
        drop(it, now);
        return true;
    }
    if (it.stream_version && !may_continue_at(it.service, *it.stream_version)) {
        it.is_waiting = false;
        end_unserved(it, stream_version_left, it.executions > 0, now);
        return true;
    }
    auto& service = service_of(it.service);
    it.placement_input.endpoint_tokens_per_second =
        service.endpoint_rate(*it.configuration, serving_endpoints(it, now));
    it.placement_input.account_share = service.share_state_of(it, now);
    it.placement_input.draw = XXH64(it.id_text().data(), it.id_text().size(), options_.seed + it.attempts);
    auto choice = versions_for(it, now);
    auto* endpoint = choose_endpoint(it, choice, now);
    if (endpoint == nullptr && choice.only != nullptr && choice.may_fall_back) {
        choice.only = nullptr;
        choice.instances = nullptr;
        endpoint = choose_endpoint(it, choice, now);
    }
    if (endpoint == nullptr) {
        return false;
    }
    send(it, *endpoint, now);
    return true;
}

endpoint_state* router::choose_endpoint(exchange& it, const version_choice& choice, instant now)
{
    const auto& policy = it.is_model ? model_placement_ : plain_placement_;
    auto avoided = versions_to_avoid(it, now);
    if (choice.only == nullptr) {
        avoided.insert(avoided.end(), choice.avoided.begin(), choice.avoided.end());
    }
    const endpoint_query query{.excluded = it.tried,
                               .shared_parts = it.placement_input.shared_parts,
                               .limit = policy.considered_endpoints(it.placement_input),
                               .key = it.placement_input.shared_part.value_or(0),
                               .ranking = &it.ranking,
                               .version = choice.only,
                               .excluded_versions = avoided,
                               .instances = choice.instances};
    std::vector<endpoint_state*> states;
    const auto loads = endpoints_.loads_of(it.service, now, query, states);
    const auto chosen = policy.choose(it.placement_input, loads);
    return chosen.endpoint ? states[*chosen.endpoint] : nullptr;
}

void router::send(exchange& it, endpoint_state& endpoint, instant now)
{
    it.is_waiting = false;
    ++it.attempts;
    it.registry_age = registry_age(now);
    ++answers_->counters().attempts;
    const auto start = calls_->begin(it, endpoint, reports_->gateways(), now);
    service_of(it.service).note_sent(it, now);
    note_rollout_sent(it);
    if (!breaker_->is_idle()) {
        breaker_->note_sent(it.id, signatures_of(it));
    }
    record_attempt(port_, it, now);
    if (it.matched->kind == request_kind::safe && it.executions + 1 < it.matched->max_attempts) {
        it.attempt_timeout_at =
            now + std::chrono::duration_cast<duration>(it.objective() * attempt_timeout_objectives);
        exchanges_->add_deadline(it, it.attempt_timeout_at);
    }
    if (!start.resume_after.empty() && port_.wants_log(log_level::debug)) {
        port_.write_log(stream_continued_record(it, start.resume_after));
    }
    port_.start_call(start);
    pause_if_congested(it);
}

void router::offer_waiting(instant now)
{
    for (auto& [name, service] : services_) {
        if (service->queue().is_empty() || !service->begin_offer(now)) {
            continue;
        }
        service->queue().offer(now, options_.offers_per_step, [&](const waiting_request& waiting) {
            auto* it = exchanges_->find(waiting.exchange);
            assert(it != nullptr);
            return try_send(*it, now);
        });
    }
}

void router::on_caller_disconnected(exchange_id id, instant now)
{
    auto* found = exchanges_->find(id);
    if (found == nullptr) {
        return;
    }
    auto& it = *found;
    is_stream_report_due_ = is_stream_report_due_ || (it.is_begun && it.matched->is_resumable);
    if (it.call != 0) {
        note_rollout_abandoned(it, now);
        port_.cancel_call(it.call);
        finish_call(it, now);
    }
    drop(it, now);
    apply_signature_events(now);
    offer_waiting(now);
}

void router::on_caller_drained(exchange_id id)
{
    if (auto* it = exchanges_->find(id); it != nullptr && it->is_paused) {
        it->is_paused = false;
        port_.resume_call(it->call);
    }
}

void router::pause_if_congested(exchange& it)
{
    if (it.is_begun && !it.is_paused && port_.is_caller_congested(it.id)) {
        it.is_paused = true;
        port_.pause_call(it.call);
    }
}

fleet_report router::create_report(instant now) const
{
    auto out = reports_->create(services_, now);
    out.configuration_version = configuration_ ? configuration_->version() : 0;
    out.signatures = breaker_->create_report(now);
    return out;
}

void router::apply_report(const fleet_report& report, instant now)
{
    reports_->note_configuration(report.gateway, report.configuration_version);
    if (reports_->apply_load(report)) {
        set_others();
        origins_->report_all();
    }
    if (announcements_->apply_report(report, now)) {
        recall_from_leaving_endpoints(now);
    }
    breaker_->apply_report(report.gateway, report.signatures, now);
    for (const auto& it : report.accounts) {
        service_of(it.service);
    }
    for (auto& [name, service] : services_) {
        std::vector<reported_rates> rates;
        for (const auto& it : report.accounts) {
            if (it.service == name) {
                rates.push_back({it.account, it.rates});
            }
        }
        service->meter().set_reported(report.gateway, rates);
        service->request_offer(now);
    }
    apply_signature_events(now);
}

void router::remove_gateway(std::string_view gateway)
{
    reports_->remove(gateway);
    breaker_->remove_gateway(gateway);
    for (auto& [name, service] : services_) {
        service->meter().set_reported(gateway, {});
    }
    set_others();
}

void router::set_others()
{
    breaker_->set_others(reports_->others());
    endpoints_.set_others(reports_->others());
    rollouts_->set_others(reports_->others());
}

void router::on_timer(instant now)
{
    for (const auto id : exchanges_->take_due(now)) {
        if (auto* it = exchanges_->find(id)) {
            expire(*it, now);
        }
    }
    for (auto& [name, service] : services_) {
        for (const auto id : service->queue().take_expired(now)) {
            auto* found = exchanges_->find(id);
            assert(found != nullptr);
            auto& it = *found;
            it.is_waiting = false;
            end_unserved(it, queue_wait_exceeded, it.executions > 0, now);
        }
    }
    apply_signature_events(now);
    update_rollouts(now);
    offer_waiting(now);
}

void router::refuse(exchange& it, int status, std::string_view reason, const retry_advice& advice,
                    instant now)
{
    answers_->refuse(it, status, reason, advice, context_of(it, now));
    erase(it);
}

void router::refuse_unknown(exchange& it, int status, std::string_view reason, instant now)
{
    const auto is_behind = reports_->latest_configuration() > configuration_->version();
    is_behind ? refuse(it, status_unavailable, "configuration-behind", min_retry_after, now)
              : refuse(it, status, reason, duration::zero(), now);
}

exchange_context router::context_of(const exchange& it, instant now) const
{
    const auto service = services_.find(it.service);
    return {.now = now,
            .waiting = service == services_.end() ? 0 : service->second->queue().size(),
            .configuration_version = configuration_ ? configuration_->version() : 0,
            .registry_age = registry_age(now)};
}

duration router::registry_age(instant now) const
{
    const auto as_of = port_.registry_as_of();
    return as_of == instant{} ? duration{-1} : now - as_of;
}

instant router::next_due(instant now) const
{
    auto out = std::min(exchanges_->next_deadline(), rollouts_->next_due());
    bool has_waiting = false;
    for (const auto& [name, service] : services_) {
        has_waiting = has_waiting || !service->queue().is_empty();
        out = std::min(out, service->queue().next_expiry());
        if (!service->queue().is_empty()) {
            out = std::min(out, service->next_offer());
        }
    }
    return has_waiting ? std::min({out, endpoints_.next_availability(now), origins_->next_settled(now)})
                       : out;
}

void router::erase(const exchange& it)
{
    if (it.is_waiting) {
        service_of(it.service).queue().remove(it.id);
    }
    if (it.is_model && !it.account.empty()) {
        accounts_.note_ended(it.account, it.cost, it.attempts, it.is_begun);
    }
    exchanges_->erase(it.id);
}

std::size_t router::exchange_count() const
{
    return exchanges_->size();
}

const router_counters& router::counters() const
{
    return answers_->counters();
}

} // namespace hemlocknotch::gateway
