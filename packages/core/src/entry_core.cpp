#include "entry_core.hpp"

#include <hemlocknotch/core/rendezvous.hpp>

#include <algorithm>
#include <string>
#include <variant>

namespace hemlocknotch {

entry_core::entry_core(const entry_options& options)
    : data_{options, instant{}},
      finisher_{data_},
      dispatcher_{data_},
      outcomes_{data_, dispatcher_, finisher_},
      callers_{data_, dispatcher_, outcomes_, finisher_},
      links_{data_, dispatcher_, outcomes_}
{
}

std::vector<entry_effect> entry_core::reduce(const entry_event& event)
{
    entry_step step{event.now, event.entropy};
    if (!is_started_) {
        start(step);
    }
    const bool is_tick = std::holds_alternative<tick_event>(event.content);
    if (is_tick || scheduled_at_ <= step.now()) {
        scheduled_at_ = instant::max();
    }
    std::visit(
        [&](const auto& it) {
            using type = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<type, caller_request_event>) {
                callers_.on_request(step, it);
            }
            else if constexpr (std::is_same_v<type, caller_disconnected_event>) {
                callers_.on_disconnected(step, it);
            }
            else if constexpr (std::is_same_v<type, caller_progress_event>) {
                callers_.on_progress(step, it);
            }
            else if constexpr (std::is_same_v<type, claim_result_event>) {
                callers_.on_claim_result(step, it);
            }
            else if constexpr (std::is_same_v<type, link_opened_event>) {
                links_.on_opened(step, it);
            }
            else if constexpr (std::is_same_v<type, link_closed_event>) {
                links_.on_closed(step, it);
                maintain_at_ = std::min(maintain_at_, next_maintenance(step.now()));
            }
            else if constexpr (std::is_same_v<type, link_message_event>) {
                links_.on_message(step, it);
            }
            else if constexpr (!std::is_same_v<type, tick_event>) {
                on(step, it);
            }
        },
        event.content);
    run_timers(step);
    run_periodic_work(step);
    update_readiness(step);
    finish_stop(step);
    schedule(step, links_.report_demand(step));
    return step.take_effects();
}

void entry_core::start(entry_step& step)
{
    is_started_ = true;
    data_.budget = retry_budget{data_.options.retry_share, step.now()};
    data_.reachability = reachability_monitor{data_.options.out_of_reach_limit, step.now()};
    maintain_at_ = step.now();
    report_at_ = step.now() + data_.options.report_interval;
    update_watch(step);
}

void entry_core::on(entry_step& step, const members_event& value)
{
    links_.on_members(step, value);
    update_watch(step);
}

void entry_core::on(entry_step& step, const configuration_event& value)
{
    if (value.accepted == nullptr) {
        return;
    }
    const std::uint64_t before = data_.configuration.revision();
    data_.links.send_all(step, data_.configuration.accept(value.accepted));
    const std::uint64_t revision = data_.configuration.revision();
    if (revision == before) {
        return;
    }
    data_.update_permissions();
    step.count(metric_kind::gauge, "hemlocknotch_configuration_revision", static_cast<double>(revision));
    step.emit(
        log_effect{log_level::info, "configuration-accepted", {{"revision", std::to_string(revision)}}});
}

void entry_core::on(entry_step& step, const store_contact_event& value)
{
    if (value.is_reached) {
        data_.reachability.on_store_contact(step.now());
    }
}

void entry_core::on(entry_step& step, const stop_event& value)
{
    if (!data_.is_draining) {
        data_.is_draining = true;
        data_.stop_at = step.now() + data_.options.stop_limit;
    }
    if (value.is_immediate) {
        data_.stop_at = step.now();
    }
}

void entry_core::run_timers(entry_step& step)
{
    if (data_.is_draining && step.now() >= data_.stop_at) {
        end_all(step);
    }
    while (entry_request* const due = data_.requests.first_due(step.now())) {
        run_timer(step, *due);
    }
}

void entry_core::run_timer(entry_step& step, entry_request& value)
{
    switch (value.state) {
    case request_state::dispatched:
    case request_state::running:
    case request_state::unknown:
        outcomes_.on_timer(step, value);
        return;
    case request_state::claiming:
    case request_state::waiting:
    case request_state::delayed:
        break;
    }
    if (step.now() < value.deadline) {
        dispatcher_.enqueue(step, value);
        return;
    }
    const std::size_t waiting = data_.requests.waiting_of(value.client_account);
    finisher_.refuse(step, value, refusal_code::deadline_passed, verdict::not_run,
                     data_.rate.time_for_account(value.client_account, waiting, step.now()));
}

void entry_core::end_all(entry_step& step)
{
    for (const request_id& id : data_.requests.ids()) {
        entry_request* const it = data_.requests.find(id);
        const bool is_outstanding = it->is_outstanding();
        outgoing_link* const link = data_.links.find(it->link);
        if (is_outstanding && link != nullptr && link->is_open) {
            link_table::send(step, *link, cancel_message{it->id, it->attempt});
        }
        finisher_.refuse(step, *it, refusal_code::shutting_down,
                         is_outstanding ? verdict::may_have_run : verdict::not_run);
    }
}

void entry_core::run_periodic_work(entry_step& step)
{
    if (step.now() >= report_at_) {
        links_.report_service(step);
        report_at_ = step.now() + data_.options.report_interval;
    }
    if (step.now() < maintain_at_) {
        return;
    }
    links_.maintain(step);
    maintain_at_ = next_maintenance(step.now());
    step.count(metric_kind::gauge, "hemlocknotch_waiting", static_cast<double>(data_.requests.waiting()));
    step.count(metric_kind::gauge, "hemlocknotch_outstanding",
               static_cast<double>(data_.requests.size() - data_.requests.waiting()));
}

instant entry_core::next_maintenance(instant now) const
{
    instant next = now + data_.options.heartbeat_interval / 2;
    for (const auto& [name, target] : data_.links.targets()) {
        if (target.link == 0) {
            next = std::min(next, std::max(target.retry_at, now + duration{1}));
        }
    }
    return next;
}

void entry_core::update_watch(entry_step& step)
{
    std::vector<std::string> same_domain;
    for (const member& it : data_.members) {
        if (it.failure_domain == data_.options.failure_domain && it.state == member_state::live) {
            same_domain.push_back(it.name);
        }
    }
    const bool is_wanted =
        is_watcher(data_.options.identity.name, same_domain, data_.options.watchers_per_domain);
    if (reported_watch_ != is_wanted) {
        reported_watch_ = is_wanted;
        step.emit(watch_store_effect{is_wanted});
    }
}

void entry_core::update_readiness(entry_step& step)
{
    const bool is_ready = data_.configuration.current() != nullptr && !data_.is_draining &&
                          !data_.is_out_of_service() && data_.reachability.is_reachable(step.now());
    if (reported_ready_ != is_ready) {
        reported_ready_ = is_ready;
        step.emit(readiness_effect{is_ready});
    }
}

void entry_core::finish_stop(entry_step& step)
{
    const bool is_done = data_.is_draining && data_.requests.size() == 0 &&
                         (data_.abandoned_claims.empty() || step.now() >= data_.stop_at);
    if (is_done && !is_stopped_) {
        is_stopped_ = true;
        step.emit(stopped_effect{});
    }
}

void entry_core::schedule(entry_step& step, std::optional<instant> demand_at)
{
    instant next = std::min(maintain_at_, report_at_);
    next = std::min(next, data_.requests.next_timer().value_or(next));
    next = std::min(next, demand_at.value_or(next));
    if (data_.is_draining && !is_stopped_) {
        next = std::min(next, data_.stop_at);
    }
    if (next < scheduled_at_) {
        scheduled_at_ = next;
        step.emit(schedule_tick_effect{next});
    }
}

entry_status entry_core::status() const
{
    entry_status result;
    result.revision = data_.configuration.revision();
    result.is_ready = reported_ready_.value_or(false);
    result.is_draining = data_.is_draining;
    for (const auto& [id, link] : data_.links.links()) {
        result.links += link.has_hello ? 1 : 0;
    }
    result.waiting = data_.requests.waiting();
    result.outstanding = data_.requests.size() - data_.requests.waiting();
    result.held_bytes = data_.requests.held_bytes();
    const configuration_ptr& current = data_.configuration.current();
    if (current == nullptr) {
        return result;
    }
    for (const auto& [service, ledger] : data_.ledgers) {
        for (const auto& [client_account, weight] : current->weights) {
            result.counters.push_back({service, client_account, ledger.counter(client_account, weight)});
        }
    }
    return result;
}

} // namespace hemlocknotch
