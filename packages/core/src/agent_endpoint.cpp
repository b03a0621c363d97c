#include "agent_endpoint.hpp"

#include "agent_answers.hpp"
#include "agent_submits.hpp"
#include "media_type.hpp"

#include <algorithm>
#include <cassert>
#include <string>

namespace hemlocknotch::agent {
namespace {

/// Highest number of prompt prefixes remembered as cached.
constexpr std::size_t max_cached_prefixes = 1024;

/// Status with which an endpoint goes on with an answer.
constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t first_server_error_status = 500;

/// Returns whether the service's cost unit is lines, which are charged as they are received. Otherwise each
/// request costs one unit.
bool is_counted_by_lines(const agent_context& context)
{
    const configuration_ptr& current = context.tracker.current();
    const service_definition* const service =
        current ? current->find_service(context.options.service) : nullptr;
    return service != nullptr && service->unit == cost_unit::lines;
}

/// Treats the endpoint as cold if it reports another incarnation than before.
void check_incarnation(agent_context& context, std::uint64_t incarnation)
{
    if (incarnation == 0 || incarnation == context.endpoint.incarnation) {
        return;
    }
    if (context.endpoint.incarnation != 0) {
        context.log(log_level::warning, "endpoint-restarted", {{"incarnation", std::to_string(incarnation)}});
        context.limit->on_cold(context.now);
        context.endpoint.cached_prefixes.clear();
    }
    context.endpoint.incarnation = incarnation;
}

/// Resumes the answer of a broken or idle call by a new call. Returns false if that is not allowed. Received
/// bytes prove that the endpoint knows the request; without any, a new call could run the request again.
bool resume(agent_context& context, agent_dispatch& value)
{
    const std::uint64_t offset = value.answer.end();
    const bool may_resume =
        value.request.is_resumable && offset > 0 && value.resumes < context.options.max_resumes;
    if (!may_resume) {
        return false;
    }
    ++value.resumes;
    context.dispatches.begin_call(value, offset, context.now);
    context.count("hemlocknotch_endpoint_resumes_total", "service", context.options.service);
    start_call_effect call;
    call.call = value.call;
    call.id = value.request.id;
    call.offset = offset;
    call.traceparent = value.request.traceparent;
    context.add(std::move(call));
    return true;
}

void count_lines(agent_context& context, agent_dispatch& value, std::string_view bytes)
{
    const auto n = std::count(bytes.begin(), bytes.end(), '\n');
    if (n == 0) {
        return;
    }
    const duration interval = (context.now - value.last_unit) / n;
    const auto running = static_cast<std::uint32_t>(context.dispatches.running());
    for (auto k = n; k > 0; --k) {
        const bool is_first = value.units == 0.0;
        context.limit->on_unit(context.now, interval, is_first, running);
        value.units += 1.0;
    }
    value.last_unit = context.now;
    const double charge = value.units + value.reserve;
    context.selector.charge(value.request.client_account, charge - value.charged);
    value.charged = charge;
}

void complete(agent_context& context, agent_dispatch& value)
{
    const auto running = static_cast<std::uint32_t>(context.dispatches.running());
    if (value.head->status >= first_server_error_status) {
        context.limit->on_failed(context.now);
    }
    else {
        context.limit->on_completed(context.now, context.now - value.started, running);
    }
    const double cost = is_counted_by_lines(context) ? value.units : 1.0;
    settle(context, value, verdict::ran, cost);
    context.selector.on_completed(cost);
    context.measure(metric_kind::histogram, "hemlocknotch_endpoint_seconds",
                    std::chrono::duration<double>(value.ended - value.started).count());
    send_answer(context, value);
}

/// Refuses a dispatch whose first call the endpoint did not accept: nothing has run.
void refuse_not_started(agent_context& context, agent_dispatch& value)
{
    const request_id id = value.request.id;
    const std::uint32_t attempt = value.request.attempt;
    const link_id link = value.link;
    context.dispatches.end_call(value);
    context.selector.charge(value.request.client_account, -value.charged);
    context.dispatches.remove(id);
    context.tombstones.add(id, tombstone_kind::not_run, attempt, context.now);
    context.count("hemlocknotch_refusals_total", "code", to_string(refusal_code::endpoint_failed));
    context.send(link, refuse_message{id, attempt, refusal_code::endpoint_failed, {}});
}

/// Returns whether the head is that of the rest of the dispatch's answer.
bool is_continuation(const agent_dispatch& value, const endpoint_head_event& event)
{
    return event.status == status_ok &&
           (!value.head || may_continue(media_type_of(value.head->headers), media_type_of(event.headers)));
}

bool is_call_idle(const agent_context& context, const agent_dispatch& it)
{
    if (it.call == 0) {
        return false;
    }
    // A call that cannot be resumed gets the total time that a resumable one gets over all its calls.
    const bool is_resumable = it.request.is_resumable && it.answer.end() > 0;
    const auto steps = is_resumable ? 1 : static_cast<int>(context.options.max_resumes) + 1;
    return context.now - it.last_received >= context.options.endpoint_idle_timeout * steps;
}

} // namespace

void on_endpoint_head(agent_context& context, const endpoint_head_event& event)
{
    check_incarnation(context, event.incarnation);
    agent_dispatch* const it = context.dispatches.find_call(event.call);
    if (it == nullptr) {
        return;
    }
    it->last_received = context.now;
    if (it->call_offset > 0 && !is_continuation(*it, event)) {
        context.add(stop_call_effect{event.call, it->request.id, false});
        end_uncertain(context, *it, refusal_code::endpoint_failed);
        return;
    }
    if (it->head) {
        return;
    }
    it->head = head_message{it->request.id, it->request.attempt, event.status, event.headers};
    if (it->link != 0) {
        context.send(it->link, *it->head);
    }
}

void on_endpoint_part(agent_context& context, const endpoint_part_event& event)
{
    agent_dispatch* const it = context.dispatches.find_call(event.call);
    if (it == nullptr) {
        return;
    }
    it->last_received = context.now;
    it->answer.append(event.bytes);
    if (is_counted_by_lines(context)) {
        count_lines(context, *it, event.bytes);
    }
    send_answer(context, *it);
    if (it->answer.size() > context.options.max_answer_bytes) {
        context.add(stop_call_effect{event.call, it->request.id, true});
        end_uncertain(context, *it, refusal_code::answer_too_large);
    }
}

void on_endpoint_end(agent_context& context, const endpoint_end_event& event)
{
    agent_dispatch* const it = context.dispatches.find_call(event.call);
    if (it == nullptr) {
        return;
    }
    if (event.outcome == call_outcome::complete && it->head) {
        complete(context, *it);
        return;
    }
    context.limit->on_failed(context.now);
    const bool is_first_call = it->resumes == 0 && !it->head;
    if (event.outcome == call_outcome::not_started && is_first_call) {
        refuse_not_started(context, *it);
        return;
    }
    if (!resume(context, *it)) {
        end_uncertain(context, *it, refusal_code::endpoint_failed);
    }
}

void on_endpoint_health(agent_context& context, const endpoint_health_event& event)
{
    if (event.is_reached) {
        check_incarnation(context, event.incarnation);
    }
}

void on_endpoint_cache(agent_context& context, const endpoint_cache_event& event)
{
    auto& cached = context.endpoint.cached_prefixes;
    for (const std::uint64_t it : event.removed) {
        std::erase(cached, it);
    }
    for (const std::uint64_t it : event.added) {
        std::erase(cached, it);
        cached.push_back(it);
    }
    if (cached.size() > max_cached_prefixes) {
        cached.erase(cached.begin(), cached.end() - static_cast<std::ptrdiff_t>(max_cached_prefixes));
    }
}

void replace_idle_calls(agent_context& context)
{
    const auto is_idle = [&](const agent_dispatch& it) { return is_call_idle(context, it); };
    for (const request_id& id : context.dispatches.select(is_idle)) {
        agent_dispatch& it = *context.dispatches.find(id);
        context.log(log_level::warning, "endpoint-silent", {{"request_id", id.to_string()}});
        context.add(stop_call_effect{it.call, id, false});
        if (!resume(context, it)) {
            end_uncertain(context, it, refusal_code::endpoint_failed);
        }
    }
}

} // namespace hemlocknotch::agent
