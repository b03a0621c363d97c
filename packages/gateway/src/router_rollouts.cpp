#include <hemlocknotch/gateway/rollout_table.hpp>
#include <hemlocknotch/gateway/router.hpp>

#include "call_table.hpp"
#include "exchange.hpp"
#include "exchange_table.hpp"
#include "service_admission.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <limits>

/// What roll-outs of services to other software versions have to do with requests.
namespace hemlocknotch::gateway {
namespace {

/// Prompt tokens that the fixed part of an answer's time counts as: some 20 ms of reading.
constexpr double fixed_work = 1000.0;

/// Returns a number between 0 and 1 that is the same for all attempts of the request.
double draw_of(const exchange& it)
{
    const auto hash = XXH64(it.id_text().data(), it.id_text().size(), 0);
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

void router::set_registered_rollouts(const registered_rollouts& registered, instant now)
{
    rollouts_->set_registered(registered, now);
    update_rollouts(now);
}

void router::apply_rollout_report(const rollout_report& report, instant now)
{
    rollouts_->apply_report(report, now);
    update_rollouts(now);
}

void router::update_rollouts(instant now)
{
    for (const auto& [service, plan] : rollouts_->all()) {
        if (plan.is_comparing()) {
            rollouts_->find(service)->set_open_elsewhere(
                endpoints_.running_elsewhere(service, plan.order()->version));
        }
    }
    rollouts_->update(now);
    const auto records = rollouts_->take_log_records();
    for (const auto& it : records) {
        port_.write_state_log(it);
    }
    if (!records.empty()) {
        for (auto& [name, service] : services_) {
            service->request_offer(now);
        }
    }
}

version_choice router::versions_for(const exchange& it, instant now) const
{
    if (it.stream_version) {
        return {.only = &*it.stream_version, .instances = nullptr, .may_fall_back = false, .avoided = {}};
    }
    const auto* plan = rollouts_->find(it.service);
    return plan == nullptr ? version_choice{} : plan->choose(draw_of(it), it.attempts == 0, now);
}

bool router::may_continue_at(std::string_view service, std::string_view version) const
{
    const auto* plan = rollouts_->find(service);
    return endpoints_.has_version(service, version) && (plan == nullptr || !plan->is_blocked(version));
}

std::size_t router::serving_endpoints(const exchange& it, instant now) const
{
    const auto all = endpoints_.endpoint_count(it.service);
    const auto* plan = rollouts_->find(it.service);
    return plan == nullptr ? all : std::max<std::size_t>(1, plan->serving_count(all, now));
}

void router::note_rollout_sent(exchange& it)
{
    it.rollout_answer = counted_answer::none;
    it.answer_work = it.is_model ? fixed_work + it.pending : 1.0;
    if (auto* plan = rollouts_->find(it.service)) {
        plan->note_sent(it.endpoint_version);
    }
}

const endpoint_state* router::compared_endpoint(const exchange& it)
{
    const auto* plan = rollouts_->find(it.service);
    if (plan == nullptr || !plan->is_comparing()) {
        return nullptr;
    }
    const auto* endpoint = endpoints_.find(it.instance);
    const auto is_same_start = endpoint != nullptr &&
                               endpoint->record.software_version == it.endpoint_version &&
                               endpoint->record.started_at_ms == it.endpoint_started_at_ms;
    return is_same_start ? endpoint : nullptr;
}

void router::note_rollout_answered(exchange& it, instant now)
{
    const auto* endpoint = compared_endpoint(it);
    if (endpoint == nullptr || it.rollout_answer != counted_answer::none) {
        return;
    }
    const std::chrono::duration<double> time = now - it.sent_at;
    it.rollout_answer = rollouts_->note_answered(
        endpoint->record, it.matched->name, time.count() / it.answer_work, endpoint->cold_until > it.sent_at);
}

void router::note_rollout_failed(exchange& it)
{
    if (const auto* endpoint = compared_endpoint(it)) {
        rollouts_->note_failed(endpoint->record, it.matched->name, it.rollout_answer);
        it.rollout_answer = counted_answer::bad;
    }
}

void router::note_rollout_abandoned(exchange& it, instant now)
{
    const auto* endpoint = compared_endpoint(it);
    if (endpoint == nullptr || it.rollout_answer != counted_answer::none ||
        endpoint->cold_until > it.sent_at) {
        return;
    }
    const std::chrono::duration<double> time = now - it.sent_at;
    if (rollouts_->is_slow(endpoint->record, it.matched->name, time.count() / it.answer_work)) {
        note_rollout_failed(it);
    }
}

} // namespace hemlocknotch::gateway
