#include "call_table.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace hemlocknotch::gateway {
namespace {

/// Returns one gateway's part of a limit, at least 1. A limit of 0, which means none, stays 0.
unsigned part_of(unsigned limit, std::size_t gateways)
{
    return limit == 0 ? 0U : std::max(1U, limit / static_cast<unsigned>(gateways));
}

} // namespace

call_start call_table::begin(exchange& it, endpoint_state& endpoint, std::size_t gateways, instant now)
{
    assert(it.call == 0);
    it.call = ++last_call_;
    it.instance = endpoint.record.instance;
    it.endpoint_started_at_ms = endpoint.record.started_at_ms;
    it.endpoint_version = endpoint.record.software_version;
    it.sent_at = now;
    it.first_event_at = instant::max();
    calls_.emplace(it.call, open_call{it.id, it.instance, it.endpoint_started_at_ms});
    ++endpoint.running;
    if (it.is_model) {
        add_prompt(it, endpoint, now);
    }
    if (endpoint.cold_limiter && endpoint.cold_until > now) {
        endpoint.cold_limiter->on_admitted(now);
    }
    if (endpoint.is_resuming) {
        endpoint.resume_at = now + endpoint_table::resume_interval;
    }
    if (endpoint.limiter) {
        endpoint.limiter->on_admitted(now);
    }
    const auto& resumed = it.events.last_id();
    const auto* service = it.configuration->find_service(it.service);
    return {.call = it.call,
            .request = it.request,
            .address = endpoint.record.address,
            .instance = it.instance,
            .account = it.account,
            .remaining = it.ends_at - now,
            .resume_after = resumed.empty() ? it.request->fields.last_event_id : resumed,
            .is_unrepeatable = !it.is_repeatable(),
            .max_connections = part_of(service == nullptr ? 0U : service->max_connections, gateways)};
}

void call_table::add_prompt(exchange& it, endpoint_state& endpoint, instant now) const
{
    it.pending =
        it.placement_input.prompt_tokens - endpoint.cached_tokens(it.placement_input.shared_parts, now);
    endpoint.note_sent(it.placement_input.shared_parts, now);
    endpoint.pending_tokens += it.pending;
    endpoint.sent_tokens.add(it.pending + output_weight_ * it.placement_input.output_tokens, now);
}

void call_table::note_prompt_read(exchange& it)
{
    if (it.pending <= 0.0) {
        return;
    }
    if (auto* endpoint = endpoints_.find(it.instance)) {
        endpoint->pending_tokens = std::max(0.0, endpoint->pending_tokens - it.pending);
    }
    it.pending = 0.0;
}

void call_table::finish(exchange& it)
{
    if (it.call == 0) {
        return;
    }
    note_prompt_read(it);
    if (auto* endpoint = endpoints_.find(it.instance); endpoint != nullptr && endpoint->running > 0) {
        --endpoint->running;
    }
    calls_.erase(it.call);
    it.call = 0;
    it.attempt_timeout_at = instant::max();
    it.head.reset();
    it.is_stream = false;
    it.is_paused = false;
    it.body = {};
    buffers_.release(it);
}

exchange_id call_table::exchange_of(call_id call) const
{
    const auto it = calls_.find(call);
    return it == calls_.end() ? 0 : it->second.exchange;
}

std::vector<exchange_id> call_table::exchanges_at(std::string_view instance) const
{
    std::vector<exchange_id> out;
    for (const auto& [call, it] : calls_) {
        if (it.instance == instance) {
            out.push_back(it.exchange);
        }
    }
    return out;
}

std::vector<exchange_id> call_table::exchanges_at_leaving_endpoints() const
{
    std::vector<exchange_id> out;
    for (const auto& [call, it] : calls_) {
        const auto* endpoint = endpoints_.find(it.instance);
        const auto is_gone = endpoint == nullptr || endpoint->record.started_at_ms != it.started_at_ms;
        if (is_gone || endpoint_table::is_departing(*endpoint)) {
            out.push_back(it.exchange);
        }
    }
    return out;
}

} // namespace hemlocknotch::gateway
