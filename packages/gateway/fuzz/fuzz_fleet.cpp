#include "fuzz_fleet.hpp"

#include <hemlocknotch/gateway/crash_breaker.hpp>

#include "fuzz_configuration.hpp"
#include "fuzz_gateway.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

constexpr double retry_ratio = 0.2;
constexpr double retry_reserve = 52.0;
/// Prompt part on which endpoints end before they answer, in every other fleet.
constexpr std::uint64_t crashing_part = 6;
/// Body of requests on which endpoints end, in every other fleet.
constexpr std::string_view crashing_body = "crash";
/// Numbers of ends after which the requests with that part, or body, are bounded, as the platform states it.
constexpr std::size_t counted_part_ends = 5;
constexpr std::size_t counted_request_ends = 3;
/// Time after which a pause is to be kept.
constexpr duration pause_delay = milliseconds{500};
/// Step of the virtual time, and so the longest delay of a call of `on_timer`.
constexpr duration time_step = milliseconds{20};

} // namespace

fuzz_fleet::fuzz_fleet(std::uint64_t seed)
    : random_{seed},
      unusual_random_{seed + 1},
      stop_random_{seed + 2},
      part_crashes_{"requests with a part that crashes endpoints", counted_part_ends}
{
    configuration_ = std::make_shared<routing_configuration>(create_fuzz_configuration(1));
    for (int n = 0; n < 4; ++n) {
        for (const auto* service : {"plain", "model"}) {
            const auto name = std::string{service} + std::to_string(n);
            endpoints_.emplace(name, endpoint_record{.instance = name,
                                                     .service = service,
                                                     .address = *endpoint_address::parse(
                                                         "127.0.0.1:" + std::to_string(100 + n)),
                                                     .failure_domain = "d" + std::to_string(n % 2),
                                                     .slots = 4,
                                                     .is_draining = false,
                                                     .cold_remaining = {},
                                                     .started_at_ms = 1,
                                                     .software_version = "v1"});
        }
    }
    has_crashing_part_ = chance(50);
    has_crashing_body_ = chance(50);
    constexpr std::array<std::size_t, 4> sizes{1, 2, 4, 12};
    const auto count = sizes.at(random_() % sizes.size());
    for (std::size_t n = 0; n < count; ++n) {
        auto it = std::make_unique<gateway_state>(*this);
        it->name = "g" + std::to_string(n);
        router_options options;
        options.retries = {retry_ratio, retry_reserve};
        options.seed = random_();
        options.gateway = it->name;
        it->decisions = std::make_unique<router>(options, model_placement_, plain_placement_, *it->effects);
        it->decisions->set_gateways(count);
        it->decisions->set_configuration(configuration_, now_);
        it->decisions->set_endpoints(records(), now_);
        gateways_.push_back(std::move(it));
    }
}

fuzz_fleet::~fuzz_fleet() = default;

std::vector<endpoint_record> fuzz_fleet::records() const
{
    std::vector<endpoint_record> out;
    for (const auto& [name, it] : endpoints_) {
        out.push_back(it);
    }
    return out;
}

void fuzz_fleet::step()
{
    auto& it = *gateways_[random_() % gateways_.size()];
    const auto what = random_() % 100;
    if (what < 35) {
        send_request(it);
    }
    else if (what < 80) {
        answer(it);
    }
    else if (what < 84) {
        disconnect(it);
    }
    else if (what < 86) {
        change_endpoints();
    }
    else if (what < 88) {
        exchange_reports();
    }
    else {
        advance_time();
    }
    advance_stop(it);
    send_urgent_reports();
    check_deadlines(it);
}

void fuzz_fleet::send_request(gateway_state& it)
{
    constexpr std::array<std::string_view, 4> prefixes{"/unsafe/", "/safe/", "/stream/", "/resume/"};
    const auto kind = random_() % prefixes.size();
    const auto exchange = ++last_exchange_;
    auto request = std::make_shared<caller_request>();
    request->method = "POST";
    request->target = std::string{prefixes.at(kind)} + "x";
    request->host = "h";
    request->fields.id = std::to_string(exchange);
    request->fields.caller_timeout = milliseconds{500 + random_() % 5000};
    request->fields.prompt_tokens = random_() % 4000;
    request->fields.max_output_tokens = random_() % 500;
    request->fields.prompt = {{random_() % 7, 500}, {exchange, 500}};
    request->body =
        has_crashing_body_ && chance(3) ? std::string{crashing_body} : "prompt " + std::to_string(exchange);
    request_oracle added;
    added.arrived = now_;
    added.id = request->fields.id;
    added.kind = kind == 0 ? request_kind::unsafe : kind == 1 ? request_kind::safe : request_kind::streaming;
    added.is_resumable = kind == 3;
    added.ends_at = now_ + std::min<duration>(*request->fields.caller_timeout, std::chrono::seconds{4});
    it.requests.emplace(exchange, added);
    ++requests_;
    it.decisions->on_request(exchange, std::move(request), now_);
}

void fuzz_fleet::disconnect(gateway_state& it)
{
    std::vector<exchange_id> open;
    for (const auto& [id, request] : it.requests) {
        if (!request.is_ended) {
            open.push_back(id);
        }
    }
    if (open.empty()) {
        return;
    }
    const auto exchange = open[random_() % open.size()];
    auto& request = it.requests.at(exchange);
    if (!request.has_left && chance(50)) {
        request.has_left = true;
        return;
    }
    request.is_disconnected = true;
    it.decisions->on_caller_disconnected(exchange, now_);
    const auto is_running = std::ranges::any_of(
        it.calls, [&](const auto& call) { return call.second.start.request->fields.id == request.id; });
    if (is_running) {
        throw invariant_violation{"a call is still open after its caller disconnected"};
    }
    it.requests.erase(exchange);
}

void fuzz_fleet::execute(gateway_state& it, open_call& call)
{
    if (!std::exchange(call.is_executing, true)) {
        request_of(it, call).note_execution();
    }
}

void fuzz_fleet::answer(gateway_state& it)
{
    if (it.calls.empty()) {
        return;
    }
    const auto found = std::next(it.calls.begin(), static_cast<std::ptrdiff_t>(random_() % it.calls.size()));
    const auto id = found->first;
    auto& call = found->second;
    if (!call.is_executing && !std::exchange(call.is_connected, true) && chance(50)) {
        return it.decisions->on_connected(id, now_);
    }
    auto* crashes = crashes_of(call.start);
    const auto finish = [&](call_outcome outcome) {
        it.calls.erase(id);
        it.decisions->on_end(id, outcome, now_);
    };
    if (!call.is_executing && chance(6)) {
        return finish(call_outcome::not_connected);
    }
    const auto& target = call.start.request->target;
    const auto is_stream = target.starts_with("/stream/") || target.starts_with("/resume/");
    if (crashes != nullptr) {
        crashes->note_arrival(now_);
    }
    else if (is_stream && answer_unusually(it, call)) {
        return;
    }
    if (!call.is_executing && chance(8)) {
        answer_fields fields;
        fields.is_not_executed = true;
        fields.request_limit = arrivals_.state_limit(call.start.instance, now_);
        announce(it, call.start.instance, fields);
        it.decisions->on_head(id, {503, {}}, fields, now_);
        return finish(call_outcome::complete);
    }
    execute(it, call);
    if (crashes != nullptr) {
        crashes->note_end(now_);
        // The call, and its name of the endpoint, end there.
        return end_endpoint(std::string{call.start.instance});
    }
    if (chance(8)) {
        return finish(call_outcome::broken);
    }
    if (is_stream) {
        return answer_stream(it, call);
    }
    answer_fields fields;
    fields.is_signed = !chance(2);
    fields.request_limit = arrivals_.state_limit(call.start.instance, now_);
    const auto status = chance(10) ? 500 : 200;
    auto& request = request_of(it, call);
    it.decisions->on_head(id, endpoint_head(id, status), fields, now_);
    if (it.calls.contains(id)) {
        request.note_plain_answer(std::to_string(id), status, "body");
        it.decisions->on_part(id, "body", now_);
        finish(call_outcome::complete);
    }
}

void fuzz_fleet::end_endpoint(const std::string& instance)
{
    for (auto& it : gateways_) {
        // The end of one call may cancel others, or begin one to the endpoint, which accepts no connection.
        const auto is_cut = [&](const auto& call) { return call.second.start.instance == instance; };
        for (auto call = std::ranges::find_if(it->calls, is_cut); call != it->calls.end();
             call = std::ranges::find_if(it->calls, is_cut)) {
            const auto [id, was_executing] = std::pair{call->first, call->second.is_executing};
            it->calls.erase(call);
            it->decisions->on_end(id, was_executing ? call_outcome::broken : call_outcome::not_connected,
                                  now_);
        }
    }
    restart(endpoints_.at(instance));
    publish_endpoints();
}

void fuzz_fleet::restart(endpoint_record& it)
{
    ++it.started_at_ms;
    it.is_draining = false;
    arrivals_.reset(it.instance);
}

void fuzz_fleet::publish_endpoints()
{
    for (auto& it : gateways_) {
        it->decisions->set_out_of_service(out_of_service_);
        it->decisions->set_endpoints(records(), now_);
    }
}

void fuzz_fleet::answer_stream(gateway_state& it, open_call& call)
{
    const auto id = call.start.call;
    if (!std::exchange(call.has_head, true)) {
        request_of(it, call).note_stream_head(std::to_string(id), false);
        it.decisions->on_head(id, endpoint_head(id, 200), stream_fields(call), now_);
    }
    std::string bytes;
    for (auto n = random_() % 3; n > 0 && call.next_event <= stream_events; --n) {
        bytes += event_text(call.next_event++);
    }
    const auto is_last = call.next_event > stream_events;
    if (!is_last && chance(10)) {
        bytes += event_text(call.next_event).substr(0, 1 + random_() % 10);
        it.decisions->on_part(id, bytes, now_);
        it.calls.erase(id);
        return it.decisions->on_end(id, chance(50) ? call_outcome::broken : call_outcome::complete, now_);
    }
    it.decisions->on_part(id, bytes, now_);
    if (is_last) {
        it.calls.erase(id);
        it.decisions->on_end(id, call_outcome::complete, now_);
    }
}

crash_oracle* fuzz_fleet::crashes_of(const call_start& start)
{
    if (has_crashing_body_ && start.request->body == crashing_body) {
        const auto& found = request_crashes_.try_emplace(
            start.request->target, "requests that crash endpoints", counted_request_ends);
        return &found.first->second;
    }
    const auto& target = start.request->target;
    const auto is_model = target.starts_with("/stream/") || target.starts_with("/resume/");
    const auto has_part = has_crashing_part_ && start.request->fields.prompt.front().id == crashing_part;
    return is_model && has_part ? &part_crashes_ : nullptr;
}

void fuzz_fleet::announce(gateway_state& it, const std::string& instance, answer_fields& fields)
{
    const auto& record = endpoints_.at(instance);
    if (chance(20)) {
        fields.pause = milliseconds{random_() % 4000};
        it.pauses[instance] = {record.started_at_ms, now_ + pause_delay, now_ + *fields.pause, 0};
    }
    if (chance(5)) {
        fields.is_leaving = true;
        it.left[instance] = record.started_at_ms;
    }
}

void fuzz_fleet::change_limits()
{
    const auto instance = "model" + std::to_string(random_() % 4);
    if (arrivals_.has_limit(instance)) {
        return arrivals_.set_limit(instance, std::nullopt);
    }
    constexpr std::array<double, 3> limits{0.5, 4.0, 20.0};
    arrivals_.set_limit(instance, limits.at(random_() % limits.size()));
}

void fuzz_fleet::change_endpoints()
{
    auto& record =
        std::next(endpoints_.begin(), static_cast<std::ptrdiff_t>(random_() % endpoints_.size()))->second;
    if (chance(20)) {
        return change_limits();
    }
    switch (random_() % 4) {
    case 0:
        record.is_draining = !record.is_draining;
        break;
    case 1:
        restart(record);
        break;
    case 2:
        if (record.service != "model") {
            return; // The service has no limit for cold endpoints.
        }
        record.cold_remaining = milliseconds{500 + random_() % 3000};
        arrivals_.set_cold(record.instance, now_ + record.cold_remaining);
        break;
    default:
        out_of_service_ = chance(30) ? std::set<std::string, std::less<>>{"d" + std::to_string(random_() % 2)}
                                     : std::set<std::string, std::less<>>{};
    }
    publish_endpoints();
    record.cold_remaining = {};
}

void fuzz_fleet::exchange_reports()
{
    constexpr unsigned loss_percent = 20;
    for (auto& it : gateways_) {
        send_report(*it, loss_percent);
    }
}

void fuzz_fleet::send_urgent_reports()
{
    for (auto& it : gateways_) {
        // The platform bounds requests that crash endpoints only where no datagram is lost.
        if (it->decisions->breaker().take_urgency()) {
            send_report(*it, 0);
        }
    }
}

void fuzz_fleet::send_report(gateway_state& from, unsigned loss_percent)
{
    auto report = from.decisions->create_report(now_);
    report.gateway = from.name;
    report.sequence = ++from.sequence;
    for (auto& to : gateways_) {
        if (to.get() != &from && !chance(loss_percent)) {
            to->decisions->apply_report(report, now_);
        }
    }
}

void fuzz_fleet::advance_time()
{
    now_ += time_step;
    for (auto& it : gateways_) {
        if (it->decisions->next_due(now_) <= now_) {
            it->decisions->on_timer(now_);
        }
    }
}

void fuzz_fleet::check_deadlines(gateway_state& it)
{
    std::erase_if(it.requests, [&](const auto& entry) {
        const auto& request = entry.second;
        if (!request.is_ended && !request.has_left && now_ > request.ends_at + time_step) {
            throw invariant_violation{"a request was still open after its deadline"};
        }
        if (request.is_ended) {
            it.attempts.erase(request.id);
        }
        return request.is_ended;
    });
    if (static_cast<double>(extra_attempts_) > retry_ratio * static_cast<double>(requests_) + retry_reserve) {
        throw invariant_violation{"the fleet exceeded its limit of retries"};
    }
}

void fuzz_fleet::check_arrival(const call_start& start)
{
    const auto& record = endpoints_.at(start.instance);
    if (record.is_draining || out_of_service_.contains(record.failure_domain)) {
        throw invariant_violation{"a request was sent to an endpoint that is draining or out of service"};
    }
    arrivals_.note_arrival(start.instance, now_);
}

} // namespace hemlocknotch::gateway
