#include <hemlocknotch/gateway/router.hpp>

#include <xxhash.h>

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
constexpr int status_too_many = 429;
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
/// Objective of routes that state none.
constexpr duration default_objective = std::chrono::seconds{1};
/// Limit of requests that state none.
constexpr duration default_patience = std::chrono::seconds{30};
/// A repeatable request is sent to a second endpoint after this many objectives of silence.
constexpr double silent_objectives = 1.5;
/// Shortest and longest time that a caller is told to stay away.
constexpr duration min_retry_after = milliseconds{300};
constexpr duration max_retry_after = std::chrono::seconds{3};
/// Callers heed a time of up to a third of what they have left.
constexpr int heeded_part = 3;
/// Parts that are remembered of each endpoint; bounds memory.
constexpr std::size_t max_kept_parts = 4096;
/// A part that was not used for so long counts as gone from its endpoint.
constexpr duration kept_part_life = std::chrono::seconds{60};
/// Largest answer that is held until it is whole; bounds memory.
constexpr std::size_t max_held_answer = std::size_t{8} << 20U;
/// Time between two computations of the fair level; a fraction of the time in which demand changes.
constexpr duration level_interval = std::chrono::milliseconds{50};
/// Time over which the rate of sending is averaged.
constexpr duration rate_memory = std::chrono::seconds{1};

std::uint64_t hash_of(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

/// Returns the service of `it` for the request `id`, by weight. The same id gets the same service.
const std::string& choose_service(const route& it, std::string_view id)
{
    double total = 0.0;
    for (const auto& target : it.services) {
        total += target.weight;
    }
    constexpr double range = 1ULL << 32U;
    auto place = static_cast<double>(hash_of(id) >> 32U) / range * total;
    for (const auto& target : it.services) {
        place -= target.weight;
        if (place < 0.0) {
            return target.name;
        }
    }
    return it.services.back().name;
}

placement_request placement_of(const request_fields& fields)
{
    placement_request out;
    double sum = 0.0;
    for (const auto& part : fields.prompt) {
        sum += static_cast<double>(part.tokens);
    }
    out.prompt_tokens = std::max(sum, static_cast<double>(fields.prompt_tokens));
    if (fields.prompt.size() >= 2) {
        out.shared_part = fields.prompt[fields.prompt.size() - 2].id;
        out.shared_tokens = sum - static_cast<double>(fields.prompt.back().tokens);
    }
    else if (fields.prompt.size() == 1) {
        out.shared_part = fields.prompt.front().id;
    }
    return out;
}

} // namespace

struct router::exchange {
    exchange_id id = 0;
    std::shared_ptr<const caller_request> request;
    std::shared_ptr<const routing_configuration> configuration;
    const route* matched = nullptr;
    std::string service;
    std::string account;
    bool is_model = false;
    unsigned priority = 0;
    instant arrived;
    /// When the caller gets its final answer at the latest.
    instant ends_at;
    /// When a silent endpoint is given up for another.
    instant silent_at = instant::max();
    placement_request place;
    /// Tokens counted for the account.
    double cost = 0.0;
    bool is_waiting = false;
    /// Endpoints that may have executed it.
    unsigned executions = 0;
    unsigned sends = 0;
    std::vector<std::string> tried;
    /// The call under way; 0: none.
    call_id call = 0;
    std::string instance;
    instant sent_at;
    /// Prompt tokens that the endpoint has still to read for it.
    double pending = 0.0;
    std::optional<answer_head> head;
    answer_fields told;
    bool is_stream = false;
    /// The caller has been sent the head of a stream.
    bool is_begun = false;
    std::string body;
    event_splitter events;

    [[nodiscard]] duration objective() const
    {
        return matched->objective > duration::zero() ? matched->objective : default_objective;
    }

    [[nodiscard]] bool is_repeatable() const
    {
        return matched->kind == request_kind::safe ||
               (matched->kind == request_kind::streaming && matched->is_resumable);
    }

    [[nodiscard]] std::string_view id_text() const { return request->fields.id; }
};

struct router::service_state {
    service_state(const retry_bound& bound, std::size_t gateways) : line{meter}, retries{bound, gateways} {}

    share_meter meter;
    waiting_line line;
    retry_allowance retries;
    /// Since when requests have been waiting without pause.
    instant backlogged_since = instant::max();
    /// Rates up to which each account gets its fair share, of what the operators state and of what the
    /// endpoints do at present, and when they were worked out.
    double fair_level = 0.0;
    double present_level = 0.0;
    instant level_at{};
    /// Most endpoints seen at once: those that the operators' statement is about. Lost ones leave the others
    /// as fast as they were.
    std::size_t most_endpoints = 0;
    /// Costs sent here of late.
    decaying_sum sent{rate_memory};
};

router::router(const router_options& options, const placement_policy& model_placement,
               const placement_policy& plain_placement, router_port& port)
    : options_{options},
      model_placement_{model_placement},
      plain_placement_{plain_placement},
      port_{port},
      endpoints_{options.seed}
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
        it->retries.set_gateways(gateways);
    }
}

router::service_state& router::service_of(std::string_view name)
{
    const auto it = services_.find(name);
    if (it != services_.end()) {
        return *it->second;
    }
    return *services_.emplace(std::string{name}, std::make_unique<service_state>(options_.retries, gateways_))
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
    const auto& fields = it.request->fields;
    it.place = placement_of(fields);
    const auto most = static_cast<double>(fields.max_output_tokens);
    it.place.output_tokens = fields.output_hint > 0 ? std::min(most, static_cast<double>(fields.output_hint))
                                                    : options_.expected_output_share * most;
    it.cost = it.is_model ? it.place.prompt_tokens + options_.output_weight * it.place.output_tokens : 1.0;
    auto& state = service_of(it.service);
    state.retries.on_request();
    state.meter.note_asked(it.account, it.cost, now);
    deadlines_.emplace(it.ends_at, id);
    admit(it, now);
}

void router::admit(exchange& it, instant now)
{
    auto& service = service_of(it.service);
    if (service.line.is_empty() && try_send(it, now)) {
        return;
    }
    std::vector<endpoint_state*> states;
    if (endpoints_.loads_of(it.service, now, {}, states).empty()) {
        return refuse(it, status_unavailable, "no-endpoint", min_retry_after);
    }
    wait_or_refuse(it, now);
    if (!service.line.is_empty()) {
        offer_waiting(now);
    }
}

share_standing router::standing_of(service_state& service, const exchange& it, instant now) const
{
    const auto capacity = it.configuration->document().tokens_per_second * options_.share_capacity;
    if (!it.is_model || capacity <= 0.0) {
        return share_standing::within;
    }
    if (now - service.level_at >= level_interval) {
        service.fair_level = service.meter.fair_level(capacity, now);
        const auto present = std::max(capacity, service.meter.total_given(now) * options_.present_headroom);
        service.present_level = service.meter.fair_level(present, now);
        service.level_at = now;
    }
    const auto given = service.meter.rates_of(it.account, now).given;
    if (given <= service.fair_level) {
        return share_standing::within;
    }
    return given <= service.present_level ? share_standing::excess : share_standing::beyond;
}

duration router::estimated_wait(service_state& service, const exchange& it, instant now) const
{
    if (service.line.is_empty() || now - service.backlogged_since < options_.backlog_time) {
        return duration::zero();
    }
    const auto ahead = service.line.tokens_ahead(it.account, it.cost, now);
    const auto rate = service.sent.per_second(now);
    if (ahead <= 0.0 || rate <= 0.0) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{ahead / rate});
}

void router::wait_or_refuse(exchange& it, instant now)
{
    auto& service = service_of(it.service);
    const auto whole = it.ends_at - it.arrived;
    const auto is_within = standing_of(service, it, now) == share_standing::within;
    const auto share = is_within ? options_.wait_share : options_.excess_wait_share;
    const auto longest =
        it.is_model ? std::chrono::duration_cast<duration>(it.objective() * share) : whole / 2;
    const auto send_by = it.is_begun ? it.ends_at : std::min(it.arrived + longest, it.ends_at);
    const auto wait = estimated_wait(service, it, now);
    if (now >= send_by || (!it.is_begun && now + wait > send_by)) {
        return refuse(it, status_unavailable, "overloaded", std::max(wait, min_retry_after));
    }
    it.is_waiting = true;
    if (service.line.is_empty()) {
        service.backlogged_since = now;
    }
    service.line.add(it.account, {it.id, it.cost, it.priority, send_by});
}

bool router::try_send(exchange& it, instant now)
{
    std::vector<endpoint_state*> states;
    const auto loads = endpoints_.loads_of(it.service, now, it.tried, states);
    const auto& policy = it.is_model ? model_placement_ : plain_placement_;
    auto& service = service_of(it.service);
    service.most_endpoints = std::max(service.most_endpoints, states.size());
    const auto stated = it.configuration->document().tokens_per_second;
    it.place.endpoint_tokens_per_second = stated > 0.0 && service.most_endpoints > 0
                                              ? stated / static_cast<double>(service.most_endpoints)
                                              : options_.default_endpoint_rate;
    it.place.standing = standing_of(service, it, now);
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
    it.call = ++last_call_;
    it.instance = endpoint.record.instance;
    it.sent_at = now;
    ++it.sends;
    ++counters_.sends;
    calls_.emplace(it.call, it.id);
    ++endpoint.running;
    if (it.is_model) {
        auto unread = it.place.prompt_tokens;
        if (it.place.shared_part) {
            const auto kept = endpoint.kept_parts.find(*it.place.shared_part);
            if (kept != endpoint.kept_parts.end() && now - kept->second < kept_part_life) {
                unread -= it.place.shared_tokens;
            }
            if (endpoint.kept_parts.size() >= max_kept_parts) {
                endpoint.kept_parts.clear();
            }
            endpoint.kept_parts.insert_or_assign(*it.place.shared_part, now);
        }
        it.pending = unread;
        endpoint.pending_tokens += unread;
        endpoint.sent_tokens.add(unread + options_.output_weight * it.place.output_tokens, now);
    }
    if (endpoint.gate && endpoint.cold_until > now) {
        endpoint.gate->on_send(now);
    }
    auto& service = service_of(it.service);
    service.meter.note_given(it.account, it.cost, now);
    service.sent.add(it.cost, now);
    if (it.matched->kind == request_kind::safe && it.executions + 1 < it.matched->max_attempts) {
        it.silent_at = now + std::chrono::duration_cast<duration>(it.objective() * silent_objectives);
        deadlines_.emplace(it.silent_at, it.id);
    }
    const auto* definition = it.configuration->find_service(it.service);
    call_start start{
        .call = it.call,
        .request = it.request,
        .address = endpoint.record.address,
        .instance = endpoint.record.instance,
        .account = it.account,
        .remaining = it.ends_at - now,
        .resume_after = it.events.last_id().empty() ? it.request->fields.last_event_id : it.events.last_id(),
        .is_unrepeatable = !it.is_repeatable(),
        .max_connections =
            definition == nullptr ? 0U : definition->max_connections / static_cast<unsigned>(gateways_)};
    port_.start_call(start);
}

void router::take_prompt_read(exchange& it, instant /*now*/)
{
    if (it.pending <= 0.0) {
        return;
    }
    if (auto* endpoint = endpoints_.find(it.instance)) {
        endpoint->pending_tokens = std::max(0.0, endpoint->pending_tokens - it.pending);
    }
    it.pending = 0.0;
}

void router::finish_call(exchange& it, instant now)
{
    if (it.call == 0) {
        return;
    }
    take_prompt_read(it, now);
    if (auto* endpoint = endpoints_.find(it.instance); endpoint != nullptr && endpoint->running > 0) {
        --endpoint->running;
    }
    calls_.erase(it.call);
    it.call = 0;
    it.silent_at = instant::max();
    it.head.reset();
    it.is_stream = false;
    it.body.clear();
}

void router::offer_waiting(instant now)
{
    for (auto& [name, service] : services_) {
        service->line.offer(now, options_.offers_per_turn, [&](const waiting_request& waiting) {
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
        finish_call(it, now);
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
            take_prompt_read(*it, now);
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
        finish_call(it, now);
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
            finish_call(it, now);
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
        finish_call(it, now);
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
    finish_call(it, now);
    erase(it.id);
}

void router::handle_failure(exchange& it, call_outcome outcome, instant now)
{
    if (auto* endpoint = endpoints_.find(it.instance)) {
        endpoints_.note_failure(*endpoint, outcome == call_outcome::broken, now);
    }
    const auto was_executed = outcome == call_outcome::broken;
    if (port_.wants_log(log_level::warning)) {
        port_.write_log({log_level::warning,
                         "call-failed",
                         {{"request", std::string{it.id_text()}},
                          {"endpoint", it.instance},
                          {"outcome", was_executed ? "broken" : "not-connected"},
                          {"events", it.events.last_id()},
                          {"sends", std::to_string(it.sends)}}});
    }
    finish_call(it, now);
    it.events.drop_remainder();
    if (try_again(it, was_executed, now)) {
        offer_waiting(now);
        return;
    }
    if (it.is_begun) {
        ++counters_.failed;
        log_end(it, 0, "stream-broken", log_level::error);
        port_.abort(it.id);
        erase(it.id);
    }
    else if (was_executed || it.executions > 0) {
        reply_own(it, status_bad_gateway, "endpoint-broke-off", duration::zero());
    }
    else {
        refuse(it, status_unavailable, "endpoint-unreachable", min_retry_after);
    }
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
    if (endpoints_.are_all_tried(it.service, it.tried) || !service_of(it.service).retries.try_spend()) {
        return false;
    }
    ++counters_.retries;
    counters_.resumed_streams += it.is_begun ? 1U : 0U;
    if (try_send(it, now)) {
        return true;
    }
    it.is_waiting = true;
    service_of(it.service).line.add(it.account, {it.id, it.cost, 0, it.ends_at - min_remaining});
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
        service->meter.for_each_own(now,
                                    [&, &name = name](std::string_view account, const account_rates& rates) {
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
        service_of(it.service).meter.set_told(report.gateway, it.account, it.rates, now);
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
        for (const auto id : service->line.take_expired(now)) {
            const auto found = exchanges_.find(id);
            assert(found != exchanges_.end());
            auto& it = *found->second;
            it.is_waiting = false;
            if (it.is_begun) {
                ++counters_.failed;
                log_end(it, 0, "stream-broken", log_level::error);
                port_.abort(id);
                erase(id);
            }
            else if (it.executions > 0) {
                reply_own(it, status_bad_gateway, "no-endpoint-for-retry", duration::zero());
            }
            else {
                refuse(it, status_unavailable, "waited-too-long", min_retry_after);
            }
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
        auto& retries = service_of(it.service).retries;
        if (retries.left() < 1.0) {
            return;
        }
        port_.cancel_call(it.call);
        handle_failure(it, call_outcome::broken, now);
        return;
    }
    const auto has_call = it.call != 0;
    if (has_call) {
        port_.cancel_call(it.call);
        finish_call(it, now);
    }
    if (it.is_begun) {
        ++counters_.failed;
        log_end(it, 0, "timed-out", log_level::warning);
        port_.abort(it.id);
        erase(it.id);
    }
    else if (has_call || it.executions > 0) {
        reply_own(it, status_gateway_timeout, "timed-out", duration::zero());
    }
    else {
        refuse(it, status_unavailable, "timed-out-waiting", min_retry_after);
    }
}

instant router::next_time(instant now) const
{
    auto out = deadlines_.empty() ? instant::max() : deadlines_.begin()->first;
    bool has_waiting = false;
    for (const auto& [name, service] : services_) {
        has_waiting = has_waiting || !service->line.is_empty();
        out = std::min(out, service->line.next_expiry());
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
        // Spread over half as much again, so that those sent away together do not return together.
        const auto spread = static_cast<double>(hash_of(it.id_text()) % 1000) / 2000.0;
        auto wait = std::chrono::duration<double>(std::min(retry_after, max_retry_after)) * (1.0 + spread);
        if (it.request->fields.patience) {
            const auto heeded =
                std::chrono::duration<double>(*it.request->fields.patience) / heeded_part * 0.9;
            wait = std::min(wait, heeded);
        }
        head.headers.push_back({"Retry-After", std::to_string(wait.count())});
    }
    if (status != status_unavailable && status != status_too_many && status < 500) {
        log_end(it, status, reason, log_level::info);
    }
    else {
        counters_.failed += status == status_bad_gateway || status == status_gateway_timeout ? 1U : 0U;
        log_end(it, status, reason, log_level::warning);
    }
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
    const auto version = configuration_ ? configuration_->version() : 0;
    const auto held = std::chrono::duration_cast<milliseconds>(latest_ - it.arrived);
    const auto service = services_.find(it.service);
    const auto waiting = service == services_.end() ? 0 : service->second->line.size();
    port_.write_log({level,
                     "request-ended",
                     {{"request", std::string{it.id_text()}},
                      {"status", std::to_string(status)},
                      {"held_ms", std::to_string(held.count())},
                      {"standing", std::string{to_string(it.place.standing)}},
                      {"waiting", std::to_string(waiting)},
                      {"reason", std::string{reason}},
                      {"route", it.matched == nullptr ? "" : it.matched->name},
                      {"account", it.account},
                      {"endpoint", it.instance},
                      {"sends", std::to_string(it.sends)},
                      {"executions", std::to_string(it.executions)},
                      {"configuration", std::to_string(version)}}});
}

void router::erase(exchange_id id)
{
    const auto found = exchanges_.find(id);
    assert(found != exchanges_.end());
    auto& it = *found->second;
    if (it.is_waiting) {
        service_of(it.service).line.remove(id);
    }
    assert(it.call == 0);
    deadlines_.erase({it.ends_at, id});
    deadlines_.erase({it.silent_at, id});
    exchanges_.erase(found);
}

router::exchange* router::find_by_call(call_id call)
{
    const auto it = calls_.find(call);
    return it == calls_.end() ? nullptr : exchanges_.at(it->second).get();
}

} // namespace hemlocknotch::gateway
