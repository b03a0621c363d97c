#include "agent_endpoint.hpp"

#include "agent_answers.hpp"
#include "agent_submits.hpp"

#include <algorithm>
#include <cassert>
#include <string>

namespace hemlocknotch::agent {
namespace {

/// Prompt beginnings remembered as cached, at the most.
constexpr std::size_t max_cached_prefixes = 1024;

constexpr std::uint32_t first_error_status = 300;
constexpr std::uint32_t first_server_error_status = 500;

/// Requests of one unit each are charged whole from the start; lines as they come.
bool is_counted_by_lines(const agent_parts& parts)
{
    const configuration_ptr& current = parts.tracker.current();
    const service_definition* const service =
        current ? current->find_service(parts.options.service) : nullptr;
    return service != nullptr && service->unit == cost_unit::lines;
}

void check_incarnation(agent_parts& parts, std::uint64_t incarnation)
{
    if (incarnation == 0 || incarnation == parts.endpoint.incarnation) {
        return;
    }
    if (parts.endpoint.incarnation != 0) {
        parts.log(log_level::warning, "endpoint-restarted", {{"incarnation", std::to_string(incarnation)}});
        parts.limit->on_cold(parts.now);
        parts.endpoint.cached_prefixes.clear();
    }
    parts.endpoint.incarnation = incarnation;
}

/// Goes on with a call that broke or fell silent. Returns false where the request does not allow it. Bytes
/// that have come show that the endpoint knows the request; without them a new call would run it again.
bool resume(agent_parts& parts, agent_dispatch& value)
{
    const std::uint64_t offset = value.answer.end();
    const bool may_resume =
        value.request.is_resumable && offset > 0 && value.resumes < parts.options.max_resumes;
    if (!may_resume) {
        return false;
    }
    ++value.resumes;
    parts.dispatches.begin_call(value, offset, parts.now);
    parts.count("hemlocknotch_endpoint_resumes_total", "service", parts.options.service);
    start_call_effect call;
    call.call = value.call;
    call.id = value.request.id;
    call.offset = offset;
    call.traceparent = value.request.traceparent;
    parts.add(std::move(call));
    return true;
}

void count_lines(agent_parts& parts, agent_dispatch& value, std::string_view bytes)
{
    const auto n = std::count(bytes.begin(), bytes.end(), '\n');
    if (n == 0) {
        return;
    }
    const duration interval = (parts.now - value.last_unit) / n;
    const auto running = static_cast<std::uint32_t>(parts.dispatches.running());
    for (auto k = n; k > 0; --k) {
        const bool is_first = value.units == 0.0;
        parts.limit->on_unit(parts.now, interval, is_first, running);
        value.units += 1.0;
    }
    value.last_unit = parts.now;
    const double charge = value.units + value.reserve;
    parts.selector.charge(value.request.client_account, charge - value.charged);
    value.charged = charge;
}

void complete(agent_parts& parts, agent_dispatch& value)
{
    const auto running = static_cast<std::uint32_t>(parts.dispatches.running());
    if (value.head->status >= first_server_error_status) {
        parts.limit->on_failed(parts.now);
    }
    else {
        parts.limit->on_completed(parts.now, parts.now - value.started, running);
    }
    const double cost = is_counted_by_lines(parts) ? value.units : 1.0;
    settle(parts, value, verdict::ran, cost);
    parts.selector.on_completed(cost);
    parts.measure(metric_kind::histogram, "hemlocknotch_endpoint_seconds",
                  std::chrono::duration<double>(value.ended - value.started).count());
    send_answer(parts, value);
}

/// The endpoint did not take the first call of a dispatch: nothing has run.
void take_back(agent_parts& parts, agent_dispatch& value)
{
    const request_id id = value.request.id;
    const std::uint32_t attempt = value.request.attempt;
    const link_id link = value.link;
    parts.dispatches.end_call(value);
    parts.selector.charge(value.request.client_account, -value.charged);
    parts.dispatches.remove(id);
    parts.tombstones.add(id, tombstone_kind::not_run, attempt, parts.now);
    parts.count("hemlocknotch_refusals_total", "code", to_string(refusal_code::endpoint_failed));
    parts.send(link, refuse_message{id, attempt, refusal_code::endpoint_failed, {}});
}

bool is_silent(const agent_parts& parts, const agent_dispatch& it)
{
    if (it.call == 0) {
        return false;
    }
    // One that cannot be resumed is given the time at once that a resumable one gets in steps.
    const bool is_resumable = it.request.is_resumable && it.answer.end() > 0;
    const auto steps = is_resumable ? 1 : static_cast<int>(parts.options.max_resumes) + 1;
    return parts.now - it.last_heard >= parts.options.endpoint_silence_limit * steps;
}

} // namespace

void on_endpoint_head(agent_parts& parts, const endpoint_head_event& event)
{
    check_incarnation(parts, event.incarnation);
    agent_dispatch* const it = parts.dispatches.find_call(event.call);
    if (it == nullptr) {
        return;
    }
    it->last_heard = parts.now;
    const bool is_stream_unknown = it->call_offset > 0 && event.status >= first_error_status;
    if (is_stream_unknown) {
        parts.add(stop_call_effect{event.call, it->request.id, false});
        end_uncertain(parts, *it, refusal_code::endpoint_failed);
        return;
    }
    if (it->head) {
        return;
    }
    it->head = head_message{it->request.id, it->request.attempt, event.status, event.headers};
    if (it->link != 0) {
        parts.send(it->link, *it->head);
    }
}

void on_endpoint_part(agent_parts& parts, const endpoint_part_event& event)
{
    agent_dispatch* const it = parts.dispatches.find_call(event.call);
    if (it == nullptr) {
        return;
    }
    it->last_heard = parts.now;
    it->answer.append(event.bytes);
    if (is_counted_by_lines(parts)) {
        count_lines(parts, *it, event.bytes);
    }
    send_answer(parts, *it);
    if (it->answer.size() > parts.options.max_answer_bytes) {
        parts.add(stop_call_effect{event.call, it->request.id, true});
        end_uncertain(parts, *it, refusal_code::answer_too_large);
    }
}

void on_endpoint_end(agent_parts& parts, const endpoint_end_event& event)
{
    agent_dispatch* const it = parts.dispatches.find_call(event.call);
    if (it == nullptr) {
        return;
    }
    if (event.outcome == call_outcome::complete && it->head) {
        complete(parts, *it);
        return;
    }
    parts.limit->on_failed(parts.now);
    const bool is_first_call = it->resumes == 0 && !it->head;
    if (event.outcome == call_outcome::not_started && is_first_call) {
        take_back(parts, *it);
        return;
    }
    if (!resume(parts, *it)) {
        end_uncertain(parts, *it, refusal_code::endpoint_failed);
    }
}

void on_endpoint_health(agent_parts& parts, const endpoint_health_event& event)
{
    if (event.is_reached) {
        check_incarnation(parts, event.incarnation);
    }
}

void on_endpoint_cache(agent_parts& parts, const endpoint_cache_event& event)
{
    auto& cached = parts.endpoint.cached_prefixes;
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

void replace_silent_calls(agent_parts& parts)
{
    const auto is_wanted = [&](const agent_dispatch& it) { return is_silent(parts, it); };
    for (const request_id& id : parts.dispatches.select(is_wanted)) {
        agent_dispatch& it = *parts.dispatches.find(id);
        parts.log(log_level::warning, "endpoint-silent", {{"request_id", id.to_string()}});
        parts.add(stop_call_effect{it.call, id, false});
        if (!resume(parts, it)) {
            end_uncertain(parts, it, refusal_code::endpoint_failed);
        }
    }
}

} // namespace hemlocknotch::agent
