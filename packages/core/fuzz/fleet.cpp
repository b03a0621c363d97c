#include "fleet.hpp"

#include <hemlocknotch/core/damped_fair_order.hpp>
#include <hemlocknotch/core/fixed_concurrency_limit.hpp>

#include "fleet_size.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace hemlocknotch::fuzz {

fleet::fleet(const fleet_options& options)
    : options_{options}, timeline_{options.seed}, entries_(entry_count), agents_(agent_count)
{
    publish_configuration({});
    for (std::size_t n = 0; n < agent_count; ++n) {
        agents_[n].endpoint = std::make_unique<fake_endpoint>(timeline_, oracle_, options_.mutation);
        agents_[n].identity = {"agent-" + std::to_string(n), 0};
        agents_[n].domain = domain_of(n);
        start_agent(n);
    }
    for (std::size_t n = 0; n < entry_count; ++n) {
        entries_[n].identity = {"entry-" + std::to_string(n), 0};
        entries_[n].domain = domain_of(n);
        start_entry(n);
    }
}

void fleet::run()
{
    publish_members();
    notify_store_watchers();
    send_caller_request();
    if (options_.is_fault_free) {
        clear_faults();
        is_faulty_ = true; // Callers send requests only while this is set.
    }
    else {
        inject_fault();
    }
    while (steps_ < options_.steps) {
        timeline_.step();
        measure_utilisation();
    }
    clear_faults();
    constexpr duration quiet_time = std::chrono::seconds{200};
    for (const instant end = timeline_.now() + quiet_time; timeline_.now() < end;) {
        timeline_.step();
    }
    oracle_.require_all_finished();
    for (const entry_node& it : entries_) {
        const entry_status status = it.reducer->state().status();
        require(status.waiting + status.outstanding == 0, "an entry without callers holds no requests");
    }
    for (const agent_node& it : agents_) {
        const agent_state& state = it.reducer->state();
        require(state.running() + state.waiting() + state.ended() == 0,
                "an agent without work holds no requests");
    }
}

void fleet::measure_utilisation()
{
    const duration passed = timeline_.now() - std::exchange(measured_at_, timeline_.now());
    const bool has_waiting = std::any_of(entries_.begin(), entries_.end(), [](const entry_node& it) {
        return it.reducer->state().status().waiting > 0;
    });
    if (!has_waiting || passed > std::chrono::seconds{1}) {
        return;
    }
    for (const agent_node& it : agents_) {
        busy_slot_time_ += passed * it.endpoint->running();
        available_slot_time_ += passed * endpoint_limit;
    }
}

double fleet::utilisation() const
{
    return static_cast<double>(busy_slot_time_.count()) /
           static_cast<double>(std::max<duration::rep>(1, available_slot_time_.count()));
}

void fleet::start_entry(std::size_t n)
{
    entry_node& it = entries_[n];
    trace("start " + it.identity.name);
    stop_links(std::exchange(it.links, {}));
    for (const auto& [exchange, caller] : std::exchange(it.callers, {})) {
        oracle_.on_disconnect(caller);
    }
    entry_options options;
    it.identity.incarnation = timeline_.random_bits();
    options.identity = it.identity;
    options.failure_domain = it.domain;
    options.max_waiting = is_mutated("queue-bound") ? 10 * max_waiting : max_waiting;
    options.max_held_bytes = is_mutated("queue-bound") ? 10 * max_held_bytes : max_held_bytes;
    options.reply_window_bytes = window_bytes;
    it.reducer = std::make_unique<entry_reducer>(options);
    it.revision = is_mutated("revision-falls") ? it.revision : 0;
    feed(it, tick_event{});
}

void fleet::start_agent(std::size_t n)
{
    agent_node& it = agents_[n];
    trace("start " + it.identity.name);
    stop_links(std::exchange(it.links, {}));
    it.endpoint->drop_calls();
    it.last_attempts.clear();
    agent_options options;
    if (!is_mutated("same-incarnation") || it.identity.incarnation == 0) {
        it.identity.incarnation = timeline_.random_bits();
    }
    options.identity = it.identity;
    options.failure_domain = it.domain;
    options.service = "model";
    options.send_window_bytes = window_bytes;
    const std::uint32_t limit = is_mutated("limit-exceeded") ? endpoint_limit + 1 : endpoint_limit;
    it.reducer = std::make_unique<agent_reducer>(options, std::make_unique<damped_fair_order>(),
                                                 std::make_unique<fixed_concurrency_limit>(limit));
    it.revision = 0;
    it.state = member_state::live;
    feed(it, tick_event{});
}

void fleet::stop_links(const std::map<link_id, connection_ptr>& links)
{
    for (const auto& [id, link] : links) {
        disconnect(link);
    }
}

void fleet::feed(entry_node& to, decltype(entry_event::content) content)
{
    ++steps_;
    for (const auto& effect :
         to.reducer->reduce({timeline_.now(), timeline_.random_bits(), std::move(content)})) {
        std::visit([&](const auto& it) { on(to, it); }, effect);
    }
    check_invariants(to);
}

void fleet::feed(agent_node& to, decltype(agent_event::content) content)
{
    ++steps_;
    for (const auto& effect :
         to.reducer->reduce({timeline_.now(), timeline_.random_bits(), std::move(content)})) {
        std::visit([&](const auto& it) { on(to, it); }, effect);
    }
    check_invariants(to);
}

void fleet::feed_if_current(entry_node& to, const process_identity& process,
                            decltype(entry_event::content) content)
{
    if (to.identity == process) {
        feed(to, std::move(content));
    }
}

void fleet::feed_if_current(agent_node& to, const process_identity& process,
                            decltype(agent_event::content) content)
{
    if (to.identity == process) {
        feed(to, std::move(content));
    }
}

void fleet::check_invariants(entry_node& of)
{
    const entry_status status = of.reducer->state().status();
    require(status.revision >= of.revision, "the configuration revision of a process never decreases");
    of.revision = status.revision;
    require(status.waiting + status.outstanding <= 2 * max_waiting,
            "the number of requests that an entry holds is bounded");
    require(of.callers.size() <= status.waiting + status.outstanding,
            "an entry holds a request for each of its callers");
    require(status.held_bytes <= max_held_bytes, "the bytes that an entry holds are bounded");
}

void fleet::check_invariants(agent_node& of)
{
    require(of.reducer->state().revision() >= of.revision,
            "the configuration revision of a process never decreases");
    of.revision = of.reducer->state().revision();
    require(of.endpoint->running() <= endpoint_limit, "an endpoint runs no more calls than its limit");
}

template <class Node>
void fleet::on(Node& from, const schedule_tick_effect& effect)
{
    from.tick_at = effect.at;
    timeline_.at(effect.at, [this, &from, process = from.identity, at = effect.at] {
        if (from.tick_at == at) {
            feed_if_current(from, process, tick_event{});
        }
    });
}

template <class Node>
void fleet::on(Node& from, const stopped_effect& /*effect*/)
{
    timeline_.after(timeline_.random_duration(1000, 500000), [this, &from, process = from.identity] {
        if (from.identity != process) {
            return;
        }
        if constexpr (std::is_same_v<Node, entry_node>) {
            start_entry(static_cast<std::size_t>(&from - entries_.data()));
        }
        else {
            start_agent(static_cast<std::size_t>(&from - agents_.data()));
        }
    });
}

void fleet::trace(const std::string& text) const
{
    if (steps_ >= options_.trace_from) {
        std::cerr << steps_ << " " << timeline_.now().time_since_epoch().count() << " " << text << "\n";
    }
}

template void fleet::on(entry_node&, const schedule_tick_effect&);
template void fleet::on(agent_node&, const schedule_tick_effect&);
template void fleet::on(entry_node&, const stopped_effect&);
template void fleet::on(agent_node&, const stopped_effect&);

} // namespace hemlocknotch::fuzz
