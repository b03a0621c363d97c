#include <hemlocknotch/gateway/router.hpp>

#include "call_table.hpp"
#include "exchange.hpp"
#include "exchange_lines.hpp"
#include "request_target.hpp"
#include "retry_after.hpp"
#include "service_admission.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <optional>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// Most sends of one request, those included that reached nothing. Bounds the work for one request while
/// endpoints are down.
constexpr unsigned max_sends = 5;
/// A request with less time left is not sent again: no endpoint would finish it.
constexpr duration min_remaining = milliseconds{20};
/// How long an endpoint is left alone after it said that it is full: about the time of one short answer.
constexpr duration full_pause = milliseconds{50};
/// How long an address is left alone after another instance answered there; the registry says more by then.
constexpr duration misdirected_pause = std::chrono::seconds{3};
/// Limit of requests that state none.
constexpr duration default_patience = std::chrono::seconds{30};
/// A repeatable request is sent to a second endpoint after this many objectives of silence.
constexpr double silent_objectives = 1.5;

} // namespace

/// What a caller is told where its request could not be served, by how far it had come.
struct unserved_end {
    /// Part of a stream had been passed on.
    std::string_view cut_reason;
    log_level cut_level;
    /// It may have run.
    int failed_status;
    std::string_view failed_reason;
    /// It has not run and never will.
    std::string_view refused_reason;
};

namespace {

constexpr unserved_end endpoint_failed{.cut_reason = "stream-broken",
                                       .cut_level = log_level::error,
                                       .failed_status = status_bad_gateway,
                                       .failed_reason = "endpoint-broke-off",
                                       .refused_reason = "endpoint-unreachable"};
constexpr unserved_end line_too_long{.cut_reason = "stream-broken",
                                     .cut_level = log_level::error,
                                     .failed_status = status_bad_gateway,
                                     .failed_reason = "no-endpoint-for-retry",
                                     .refused_reason = "waited-too-long"};
constexpr unserved_end out_of_time{.cut_reason = "timed-out",
                                   .cut_level = log_level::warning,
                                   .failed_status = status_gateway_timeout,
                                   .failed_reason = "timed-out",
                                   .refused_reason = "timed-out-waiting"};
/// Largest answer that is held until it is whole; bounds memory.
constexpr std::size_t max_held_answer = std::size_t{8} << 20U;

} // namespace

router::router(const router_options& options, const placement_policy& model_placement,
               const placement_policy& plain_placement, router_port& port)
    : options_{options},
      model_placement_{model_placement},
      plain_placement_{plain_placement},
      port_{port},
      endpoints_{options.seed},
      calls_{std::make_unique<call_table>(endpoints_, options_.output_weight)}
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
    endpoints_.set_endpoints(records_, *configuration_, gateways_, now);
    offer_waiting(now);
}

void router::set_endpoints(std::span<const endpoint_record> records, instant now)
{
    records_.assign(records.begin(), records.end());
    if (configuration_) {
        endpoints_.set_endpoints(records_, *configuration_, gateways_, now);
        offer_waiting(now);
    }
}

void router::set_out_of_service(std::set<std::string, std::less<>> failure_domains)
{
    endpoints_.set_out_of_service(std::move(failure_domains));
}

void router::set_gateways(std::size_t gateways)
{
    assert(gateways >= 1);
    gateways_ = gateways;
    endpoints_.set_gateways(gateways);
    count_unheard();
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
    return *services_.emplace(std::string{name}, std::make_unique<service_admission>(options_, gateways_))
                .first->second;
}

void router::on_request(exchange_id id, std::shared_ptr<const caller_request> request, instant now)
{
    latest_ = now;
    ++counters_.requests;
    auto made = std::make_unique<exchange>();
    auto& it = *made;
    it.id = id;
    it.request = std::move(request);
    it.arrived = now;
    assert(!exchanges_.contains(id));
    exchanges_.emplace(id, std::move(made));
    if (!configuration_) {
        return refuse(it, status_unavailable, "no-configuration", min_retry_after);
    }
    it.configuration = configuration_;
    it.matched = configuration_->find_route(it.request->host, it.request->target);
    if (it.matched == nullptr) {
        return refuse(it, status_not_found, "no-route", duration::zero());
    }
    it.priority = it.matched->priority;
    if (configuration_->has_accounts() && !it.matched->is_anonymous) {
        const auto* account = configuration_->find_account(it.request->fields.key);
        if (account == nullptr) {
            return refuse(it, status_unauthorized, "unknown-key", duration::zero());
        }
        it.account = account->name;
        it.priority = account->priority.value_or(it.priority);
    }
    const auto patience = it.request->fields.patience.value_or(default_patience);
    const auto timeout = it.matched->timeout;
    it.ends_at = now + (timeout > duration::zero() ? std::min(timeout, patience) : patience);
    if (exchanges_.size() > options_.max_exchanges) {
        return refuse(it, status_unavailable, "too-many-requests-open", min_retry_after);
    }
    it.service = choose_service(*it.matched, it.id_text());
    const auto* service = configuration_->find_service(it.service);
    it.is_model = service != nullptr && service->is_model_service;
    it.place = placement_of(it.request->fields, options_.expected_output_share);
    it.cost = it.is_model ? it.place.prompt_tokens + options_.output_weight * it.place.output_tokens : 1.0;
    service_of(it.service).note_asked(it, now);
    deadlines_.emplace(it.ends_at, id);
    admit(it, now);
}

void router::admit(exchange& it, instant now)
{
    auto& service = service_of(it.service);
    if (service.line().is_empty() && try_send(it, now)) {
        return;
    }
    std::vector<endpoint_state*> states;
    if (endpoints_.loads_of(it.service, now, {}, states).empty()) {
        return refuse(it, status_unavailable, "no-endpoint", min_retry_after);
    }
    wait_or_refuse(it, now);
    if (!service.line().is_empty()) {
        offer_waiting(now);
    }
}

void router::wait_or_refuse(exchange& it, instant now)
{
    auto& service = service_of(it.service);
    const auto send_by = service.send_by(it, now);
    const auto wait = service.estimated_wait(it, now);
    if (now >= send_by || now + wait > send_by) {
        return refuse(it, status_unavailable, "overloaded", std::max(wait, min_retry_after));
    }
    it.is_waiting = true;
    service.add_waiting(it, it.priority, send_by, now);
}

bool router::try_send(exchange& it, instant now)
{
    std::vector<endpoint_state*> states;
    const auto loads = endpoints_.loads_of(it.service, now, it.tried, states);
    auto& service = service_of(it.service);
    it.place.endpoint_tokens_per_second = service.endpoint_rate(*it.configuration, states.size());
    it.place.standing = service.standing_of(it, now);
    const auto& policy = it.is_model ? model_placement_ : plain_placement_;
    const auto chosen = policy.choose(it.place, loads);
    if (!chosen.endpoint) {
        return false;
    }
    send(it, *states[*chosen.endpoint], now);
    return true;
}

void router::send(exchange& it, endpoint_state& endpoint, instant now)
{
    it.is_waiting = false;
    ++it.sends;
    ++counters_.sends;
    calls_->begin(it, endpoint, now);
    service_of(it.service).note_sent(it, now);
    if (it.matched->kind == request_kind::safe && it.executions + 1 < it.matched->max_attempts) {
        it.silent_at = now + std::chrono::duration_cast<duration>(it.objective() * silent_objectives);
        deadlines_.emplace(it.silent_at, it.id);
    }
    const auto& resumed = it.events.last_id();
    const auto* definition = it.configuration->find_service(it.service);
    port_.start_call(
        {.call = it.call,
         .request = it.request,
         .address = endpoint.record.address,
         .instance = it.instance,
         .account = it.account,
         .remaining = it.ends_at - now,
         .resume_after = resumed.empty() ? it.request->fields.last_event_id : resumed,
         .is_unrepeatable = !it.is_repeatable(),
         .max_connections =
             definition == nullptr ? 0U : definition->max_connections / static_cast<unsigned>(gateways_)});
}

void router::offer_waiting(instant now)
{
    for (auto& [name, service] : services_) {
        service->line().offer(now, options_.offers_per_turn, [&](const waiting_request& waiting) {
            const auto found = exchanges_.find(waiting.exchange);
            assert(found != exchanges_.end());
            return try_send(*found->second, now);
        });
    }
}

void router::on_caller_gone(exchange_id id, instant now)
{
    latest_ = now;
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    auto& it = *found->second;
    ++counters_.cancelled;
    log_end(it, 0, "caller-left", log_level::debug);
    if (it.call != 0) {
        port_.cancel_call(it.call);
        calls_->finish(it);
    }
    erase(id);
    offer_waiting(now);
}

void router::on_head(call_id call, answer_head head, const answer_fields& fields, instant now)
{
    latest_ = now;
    auto* it = find_by_call(call);
    if (it == nullptr) {
        return;
    }
    const auto is_success = head.status >= 200 && head.status < 300;
    if (is_success && (!fields.is_signed || fields.is_encoded)) {
        port_.cancel_call(call);
        return handle_failure(*it, call_outcome::broken, now);
    }
    it->silent_at = instant::max();
    it->is_stream = is_success && it->matched->kind == request_kind::streaming && fields.is_event_stream;
    it->head = std::move(head);
    it->told = fields;
}

void router::on_part(call_id call, std::string_view bytes, instant now)
{
    latest_ = now;
    auto* it = find_by_call(call);
    if (it == nullptr || !it->head) {
        return;
    }
    if (it->is_stream) {
        pass_stream(*it, bytes, now);
        if (it->pending > 0.0 && it->is_begun) {
            calls_->note_prompt_read(*it);
            offer_waiting(now);
        }
        return;
    }
    it->body += bytes;
    if (it->body.size() > max_held_answer) {
        port_.cancel_call(call);
        handle_failure(*it, call_outcome::broken, now);
    }
}

void router::pass_stream(exchange& it, std::string_view bytes, instant now)
{
    const auto whole = it.events.take(bytes);
    if (whole.empty()) {
        return;
    }
    if (!it.is_begun) {
        it.is_begun = true;
        record_time(it, "hemlocknotch_first_byte_seconds", now);
        port_.begin_stream(it.id, *it.head);
    }
    port_.send_part(it.id, whole);
}

void router::on_end(call_id call, call_outcome outcome, instant now)
{
    latest_ = now;
    auto* found = find_by_call(call);
    if (found == nullptr) {
        return;
    }
    auto& it = *found;
    if (outcome != call_outcome::complete || !it.head) {
        handle_failure(it, outcome == call_outcome::complete ? call_outcome::broken : outcome, now);
        return;
    }
    auto* endpoint = endpoints_.find(it.instance);
    const auto status = it.head->status;
    if (it.told.is_not_executed || status == status_misdirected) {
        if (endpoint != nullptr) {
            endpoint_table::suspect(*endpoint,
                                    now + (status == status_misdirected ? misdirected_pause : full_pause));
        }
        calls_->finish(it);
        if (!try_again(it, false, now)) {
            refuse(it, status_unavailable, "endpoint-refused", min_retry_after);
        }
        offer_waiting(now);
        return;
    }
    if (it.is_stream) {
        if (it.events.has_remainder()) {
            return handle_failure(it, call_outcome::broken, now);
        }
        finish_stream(it, now);
    }
    else {
        const auto is_failure = status >= 500;
        if (endpoint != nullptr) {
            is_failure ? endpoints_.note_failure(*endpoint, true, now) : endpoints_.note_success(*endpoint);
        }
        if (is_failure && may_send_again(it, true)) {
            const auto head = *it.head;
            auto body = std::move(it.body);
            calls_->finish(it);
            if (try_again(it, true, now)) {
                offer_waiting(now);
                return;
            }
            it.head = head;
            it.body = std::move(body);
        }
        ++counters_.answered;
        record_time(it, "hemlocknotch_first_byte_seconds", now);
        record_time(it, "hemlocknotch_request_seconds", now);
        log_end(it, status, "answered", is_failure ? log_level::warning : log_level::debug);
        port_.reply(it.id, *it.head, it.body);
        calls_->finish(it);
        erase(it.id);
    }
    offer_waiting(now);
}

void router::finish_stream(exchange& it, instant now)
{
    if (auto* endpoint = endpoints_.find(it.instance)) {
        endpoints_.note_success(*endpoint);
    }
    if (!it.is_begun) {
        port_.begin_stream(it.id, *it.head);
    }
    port_.end_stream(it.id);
    ++counters_.answered;
    record_time(it, "hemlocknotch_request_seconds", now);
    log_end(it, it.head->status, "answered", log_level::debug);
    calls_->finish(it);
    erase(it.id);
}

void router::handle_failure(exchange& it, call_outcome outcome, instant now)
{
    if (auto* endpoint = endpoints_.find(it.instance)) {
        endpoints_.note_failure(*endpoint, outcome == call_outcome::broken, now);
    }
    const auto was_executed = outcome == call_outcome::broken;
    if (port_.wants_log(log_level::warning)) {
        port_.write_log(failed_call_line(it, was_executed));
    }
    calls_->finish(it);
    it.events.drop_remainder();
    if (try_again(it, was_executed, now)) {
        offer_waiting(now);
        return;
    }
    end_unserved(it, endpoint_failed, was_executed || it.executions > 0);
    offer_waiting(now);
}

bool router::may_send_again(const exchange& it, bool was_executed) const
{
    if (it.sends >= max_sends) {
        return false;
    }
    return !was_executed || (it.is_repeatable() && it.executions + 1 < it.matched->max_attempts);
}

bool router::try_again(exchange& it, bool was_executed, instant now)
{
    if (!may_send_again(it, was_executed) || it.ends_at - now < min_remaining) {
        it.executions += was_executed ? 1U : 0U;
        return false;
    }
    it.executions += was_executed ? 1U : 0U;
    it.tried.push_back(it.instance);
    if (endpoints_.are_all_tried(it.service, it.tried) || !service_of(it.service).retries().try_spend()) {
        return false;
    }
    ++counters_.retries;
    counters_.resumed_streams += it.is_begun ? 1U : 0U;
    if (try_send(it, now)) {
        return true;
    }
    it.is_waiting = true;
    service_of(it.service).line().add(it.account, {it.id, it.cost, 0, it.ends_at - min_remaining});
    return true;
}

fleet_report router::make_report(instant now) const
{
    fleet_report out;
    for (const auto& [name, it] : endpoints_.all()) {
        const auto rate = it->sent_tokens.per_second(now);
        if (it->running > 0 || rate >= 1.0) {
            out.endpoints.push_back({name, it->pending_tokens, it->running, rate});
        }
    }
    for (const auto& [name, service] : services_) {
        service->meter().for_each_own(
            now, [&, &name = name](std::string_view account, const account_rates& rates) {
                out.accounts.push_back({name, std::string{account}, rates});
            });
    }
    return out;
}

void router::take_report(const fleet_report& report, instant now)
{
    std::map<std::string, peer_load, std::less<>> loads;
    for (const auto& it : report.endpoints) {
        loads.insert_or_assign(it.instance, peer_load{it.pending_tokens, it.running, it.tokens_per_second});
    }
    endpoints_.set_peer_load(report.gateway, loads);
    heard_.insert(report.gateway);
    count_unheard();
    for (const auto& it : report.accounts) {
        service_of(it.service).meter().set_told(report.gateway, it.account, it.rates, now);
    }
    offer_waiting(now);
}

void router::forget_gateway(std::string_view gateway)
{
    endpoints_.set_peer_load(gateway, {});
    if (const auto it = heard_.find(gateway); it != heard_.end()) {
        heard_.erase(it);
    }
    count_unheard();
}

void router::count_unheard()
{
    const auto known = heard_.size() + 1;
    endpoints_.set_unheard(gateways_ > known ? gateways_ - known : 0);
}

void router::on_time(instant now)
{
    latest_ = now;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end()) {
            expire(*found->second, now);
        }
    }
    for (auto& [name, service] : services_) {
        for (const auto id : service->line().take_expired(now)) {
            const auto found = exchanges_.find(id);
            assert(found != exchanges_.end());
            auto& it = *found->second;
            it.is_waiting = false;
            end_unserved(it, line_too_long, it.executions > 0);
        }
    }
    offer_waiting(now);
}

void router::expire(exchange& it, instant now)
{
    if (now < it.ends_at) {
        if (it.call == 0 || now < it.silent_at || it.head || !may_send_again(it, true)) {
            return;
        }
        if (service_of(it.service).retries().left() < 1.0) {
            return;
        }
        port_.cancel_call(it.call);
        handle_failure(it, call_outcome::broken, now);
        return;
    }
    const auto has_call = it.call != 0;
    if (has_call) {
        port_.cancel_call(it.call);
        calls_->finish(it);
    }
    end_unserved(it, out_of_time, has_call || it.executions > 0);
}

void router::end_unserved(exchange& it, const unserved_end& end, bool may_have_run)
{
    if (it.is_begun) {
        ++counters_.failed;
        log_end(it, 0, end.cut_reason, end.cut_level);
        port_.abort(it.id);
        erase(it.id);
    }
    else if (may_have_run) {
        reply_own(it, end.failed_status, end.failed_reason, duration::zero());
    }
    else {
        refuse(it, status_unavailable, end.refused_reason, min_retry_after);
    }
}

instant router::next_time(instant now) const
{
    auto out = deadlines_.empty() ? instant::max() : deadlines_.begin()->first;
    bool has_waiting = false;
    for (const auto& [name, service] : services_) {
        has_waiting = has_waiting || !service->line().is_empty();
        out = std::min(out, service->line().next_expiry());
    }
    return has_waiting ? std::min(out, endpoints_.next_opening(now)) : out;
}

void router::refuse(exchange& it, int status, std::string_view reason, duration retry_after)
{
    ++counters_.refused;
    port_.record({metric_kind::counter, "hemlocknotch_refusals_total", "code", std::string{reason}, 1.0});
    reply_own(it, status, reason, retry_after);
}

void router::reply_own(exchange& it, int status, std::string_view reason, duration retry_after)
{
    answer_head head{status, {{"Content-Type", "text/plain"}}};
    if (retry_after > duration::zero()) {
        head.headers.push_back(
            {"Retry-After", retry_after_text(it.id_text(), retry_after, it.request->fields.patience)});
    }
    counters_.failed += status == status_bad_gateway || status == status_gateway_timeout ? 1U : 0U;
    log_end(it, status, reason, status < 500 ? log_level::info : log_level::warning);
    port_.reply(it.id, head, std::string{reason} + "\n");
    erase(it.id);
}

void router::record_time(const exchange& it, std::string_view name, instant now)
{
    port_.record({metric_kind::histogram, name, "route", it.matched->name,
                  std::chrono::duration<double>(now - it.arrived).count()});
}

void router::log_end(const exchange& it, int status, std::string_view reason, log_level level)
{
    if (!port_.wants_log(level)) {
        return;
    }
    const auto service = services_.find(it.service);
    port_.write_log(ended_line(it,
                               {.status = status,
                                .reason = reason,
                                .at = latest_,
                                .waiting = service == services_.end() ? 0 : service->second->line().size(),
                                .configuration_version = configuration_ ? configuration_->version() : 0},
                               level));
}

void router::erase(exchange_id id)
{
    const auto found = exchanges_.find(id);
    assert(found != exchanges_.end());
    auto& it = *found->second;
    if (it.is_waiting) {
        service_of(it.service).line().remove(id);
    }
    assert(it.call == 0);
    deadlines_.erase({it.ends_at, id});
    deadlines_.erase({it.silent_at, id});
    exchanges_.erase(found);
}

exchange* router::find_by_call(call_id call)
{
    const auto id = calls_->exchange_of(call);
    return id == 0 ? nullptr : exchanges_.at(id).get();
}

} // namespace hemlocknotch::gateway
