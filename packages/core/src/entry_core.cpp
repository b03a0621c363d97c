#include "entry_core.hpp"

#include <hemlocknotch/core/rendezvous.hpp>

#include <algorithm>
#include <string>
#include <variant>

namespace hemlocknotch {

entry_core::entry_core(const entry_options& options)
    : data_{options, instant{}},
      ender_{data_},
      dispatcher_{data_},
      outcomes_{data_, dispatcher_, ender_},
      callers_{data_, dispatcher_, outcomes_, ender_},
      links_{data_, dispatcher_, outcomes_}
{
}

std::vector<entry_effect> entry_core::reduce(const entry_event& event)
{
    entry_turn turn{event.now, event.entropy};
    if (!is_started_) {
        start(turn);
    }
    const bool is_tick = std::holds_alternative<tick_event>(event.content);
    if (is_tick || scheduled_at_ <= turn.now()) {
        scheduled_at_ = instant::max();
    }
    std::visit(
        [&](const auto& it) {
            using type = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<type, caller_request_event>) {
                callers_.on_request(turn, it);
            }
            else if constexpr (std::is_same_v<type, caller_gone_event>) {
                callers_.on_gone(turn, it);
            }
            else if constexpr (std::is_same_v<type, caller_progress_event>) {
                callers_.on_progress(turn, it);
            }
            else if constexpr (std::is_same_v<type, claim_result_event>) {
                callers_.on_claim_result(turn, it);
            }
            else if constexpr (std::is_same_v<type, link_opened_event>) {
                links_.on_opened(turn, it);
            }
            else if constexpr (std::is_same_v<type, link_closed_event>) {
                links_.on_closed(turn, it);
                maintain_at_ = std::min(maintain_at_, next_maintenance(turn.now()));
            }
            else if constexpr (std::is_same_v<type, link_message_event>) {
                links_.on_message(turn, it);
            }
            else if constexpr (!std::is_same_v<type, tick_event>) {
                on(turn, it);
            }
        },
        event.content);
    run_timers(turn);
    run_periodic_work(turn);
    update_readiness(turn);
    finish_stop(turn);
    schedule(turn, links_.tell_demand(turn));
    return turn.take_effects();
}

void entry_core::start(entry_turn& turn)
{
    is_started_ = true;
    data_.budget = retry_budget{data_.options.retry_share, turn.now()};
    data_.reach = reach_rule{data_.options.out_of_reach_limit, turn.now()};
    maintain_at_ = turn.now();
    report_at_ = turn.now() + data_.options.report_interval;
    update_watch(turn);
}

void entry_core::on(entry_turn& turn, const members_event& value)
{
    links_.on_members(turn, value);
    update_watch(turn);
}

void entry_core::on(entry_turn& turn, const configuration_event& value)
{
    if (value.accepted == nullptr) {
        return;
    }
    const std::uint64_t before = data_.configuration.revision();
    data_.links.send_all(turn, data_.configuration.accept(value.accepted));
    const std::uint64_t revision = data_.configuration.revision();
    if (revision == before) {
        return;
    }
    data_.update_permissions();
    turn.count(metric_kind::gauge, "hemlocknotch_configuration_revision", static_cast<double>(revision));
    turn.emit(
        log_effect{log_level::info, "configuration-accepted", {{"revision", std::to_string(revision)}}});
}

void entry_core::on(entry_turn& turn, const store_contact_event& value)
{
    if (value.is_reached) {
        data_.reach.on_store_reached(turn.now());
    }
}

void entry_core::on(entry_turn& turn, const stop_event& value)
{
    if (!data_.is_draining) {
        data_.is_draining = true;
        data_.stop_at = turn.now() + data_.options.stop_limit;
    }
    if (value.is_immediate) {
        data_.stop_at = turn.now();
    }
}

void entry_core::run_timers(entry_turn& turn)
{
    if (data_.is_draining && turn.now() >= data_.stop_at) {
        end_all(turn);
    }
    while (entry_request* const due = data_.requests.first_due(turn.now())) {
        run_timer(turn, *due);
    }
}

void entry_core::run_timer(entry_turn& turn, entry_request& value)
{
    switch (value.state) {
    case request_state::dispatched:
    case request_state::running:
    case request_state::unknown:
        outcomes_.on_timer(turn, value);
        return;
    case request_state::claiming:
    case request_state::waiting:
    case request_state::delayed:
        break;
    }
    if (turn.now() < value.deadline) {
        dispatcher_.enqueue(turn, value);
        return;
    }
    const std::size_t waiting = data_.requests.waiting_of(value.client_account);
    ender_.refuse(turn, value, refusal_code::deadline_passed, verdict::not_run,
                  data_.rate.time_for_account(value.client_account, waiting, turn.now()));
}

void entry_core::end_all(entry_turn& turn)
{
    for (const request_id& id : data_.requests.ids()) {
        entry_request* const it = data_.requests.find(id);
        const bool is_outstanding = it->is_outstanding();
        outgoing_link* const link = data_.links.find(it->link);
        if (is_outstanding && link != nullptr && link->is_open) {
            link_table::send(turn, *link, cancel_message{it->id, it->attempt});
        }
        ender_.refuse(turn, *it, refusal_code::shutting_down,
                      is_outstanding ? verdict::may_have_run : verdict::not_run);
    }
}

void entry_core::run_periodic_work(entry_turn& turn)
{
    if (turn.now() >= report_at_) {
        links_.report_service(turn);
        report_at_ = turn.now() + data_.options.report_interval;
    }
    if (turn.now() < maintain_at_) {
        return;
    }
    links_.maintain(turn);
    maintain_at_ = next_maintenance(turn.now());
    turn.count(metric_kind::gauge, "hemlocknotch_waiting", static_cast<double>(data_.requests.waiting()));
    turn.count(metric_kind::gauge, "hemlocknotch_outstanding",
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

void entry_core::update_watch(entry_turn& turn)
{
    std::vector<std::string> same_domain;
    for (const member& it : data_.members) {
        if (it.failure_domain == data_.options.failure_domain && it.state == member_state::live) {
            same_domain.push_back(it.name);
        }
    }
    const bool is_wanted =
        is_watcher(data_.options.identity.name, same_domain, data_.options.watchers_per_domain);
    if (told_watch_ != is_wanted) {
        told_watch_ = is_wanted;
        turn.emit(watch_store_effect{is_wanted});
    }
}

void entry_core::update_readiness(entry_turn& turn)
{
    const bool is_ready = data_.configuration.current() != nullptr && !data_.is_draining && !data_.is_out() &&
                          data_.reach.is_in_reach(turn.now());
    if (told_ready_ != is_ready) {
        told_ready_ = is_ready;
        turn.emit(readiness_effect{is_ready});
    }
}

void entry_core::finish_stop(entry_turn& turn)
{
    const bool is_done = data_.is_draining && data_.requests.size() == 0 &&
                         (data_.abandoned_claims.empty() || turn.now() >= data_.stop_at);
    if (is_done && !is_stopped_) {
        is_stopped_ = true;
        turn.emit(stopped_effect{});
    }
}

void entry_core::schedule(entry_turn& turn, std::optional<instant> demand_at)
{
    instant next = std::min(maintain_at_, report_at_);
    next = std::min(next, data_.requests.next_timer().value_or(next));
    next = std::min(next, demand_at.value_or(next));
    if (data_.is_draining && !is_stopped_) {
        next = std::min(next, data_.stop_at);
    }
    if (next < scheduled_at_) {
        scheduled_at_ = next;
        turn.emit(schedule_tick_effect{next});
    }
}

entry_status entry_core::status() const
{
    entry_status result;
    result.revision = data_.configuration.revision();
    result.is_ready = told_ready_.value_or(false);
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
