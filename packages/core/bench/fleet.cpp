#include "fleet.hpp"

#include <hemlocknotch/core/fixed_concurrency_limit.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <string>
#include <utility>

namespace hemlocknotch::bench {
namespace {

constexpr std::size_t backlogged_queue_length = 50;
constexpr auto demand_interval = std::chrono::milliseconds{20};
constexpr auto sample_interval = std::chrono::milliseconds{100};
constexpr auto stream_interval = std::chrono::milliseconds{500};
constexpr double lowest_median = 300.0;
constexpr double highest_median = 900.0;
constexpr double fair_share_seconds = 1.0;
const std::string service_name = "gardener";

link_id link_of(std::size_t entry)
{
    return entry + 1;
}

} // namespace

fleet::fleet(const fleet_options& options)
    : options_{options}, random_{options.seed}, meter_{std::vector<double>(options.accounts, 1.0)}
{
    set_up();
}

void fleet::set_up()
{
    auto settings = std::make_shared<configuration>();
    settings->revision = 1;
    settings->services[service_name] = {service_name, account_key::of(service_name), cost_unit::lines, 500.0};
    for (std::size_t n = 0; n < options_.accounts; ++n) {
        const std::string name = "account-" + std::to_string(n);
        keys_.push_back(account_key::of(name));
        settings->weights[keys_.back()] = 1.0;
        const double position =
            options_.accounts > 1 ? static_cast<double>(n) / static_cast<double>(options_.accounts - 1) : 0.0;
        medians_.push_back(lowest_median + position * (highest_median - lowest_median));
    }
    waiting_.assign(options_.accounts, 0);
    arrived_.assign(options_.accounts, 0);
    members_event members;
    for (std::size_t n = 0; n < options_.agents; ++n) {
        member it{"agent-" + std::to_string(n),
                  process_role::agent,
                  *endpoint_address::parse("127.0.0.1:1"),
                  "a",
                  service_name,
                  member_state::live};
        members.members.push_back(it);
    }
    entries_.resize(options_.entries);
    for (std::size_t n = 0; n < options_.entries; ++n) {
        scripted_entry& it = entries_[n];
        it.incarnation = 1000 + n;
        it.queues.resize(options_.accounts);
        it.reported.assign(options_.accounts, 0);
        it.free_slots.assign(options_.agents, 0);
        it.ledger = std::make_unique<service_ledger>(process_identity{"entry", it.incarnation});
        const auto phase =
            options_.report_interval * static_cast<long>(n) / static_cast<long>(options_.entries);
        schedule(options_.report_interval + phase, [this, n] { report_service(n); });
    }
    ticks_.assign(options_.agents, instant{});
    for (std::size_t n = 0; n < options_.agents; ++n) {
        agent_options agent;
        agent.identity = {"agent-" + std::to_string(n), 1 + n};
        agent.failure_domain = "a";
        agent.service = service_name;
        agent.report_interval = options_.report_interval;
        agent.health_interval = std::chrono::hours{1};
        agent.out_of_reach_limit = std::chrono::hours{1};
        agents_.push_back(std::make_unique<agent_reducer>(
            agent, options_.create_order(), std::make_unique<fixed_concurrency_limit>(options_.slots)));
        // Agents start at different times, as in production, so that their reports are not synchronised.
        const auto phase =
            options_.report_interval * static_cast<long>(n) / static_cast<long>(options_.agents);
        schedule(phase, [this, n, settings, members] {
            feed(n, configuration_event{settings});
            feed(n, members);
            for (std::size_t k = 0; k < options_.entries; ++k) {
                feed(n, link_accepted_event{link_of(k)});
                hello_message hello;
                hello.sender = {"entry-" + std::to_string(k), entries_[k].incarnation};
                hello.failure_domain = "a";
                feed(n, link_message_event{link_of(k), hello});
            }
        });
    }
    for (std::size_t n = 0; n < options_.accounts; ++n) {
        schedule(options_.report_interval, [this, n] { generate_arrivals(n); });
    }
    schedule(options_.report_interval * 2 + options_.warm_up, [this] { sample(); });
}

fleet_result fleet::run()
{
    const instant end = now_ + options_.length;
    while (!events_.empty() && events_.top().at <= end) {
        const timed_event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    const double seconds = std::chrono::duration<double>(options_.length).count();
    const auto total_slots = static_cast<double>(options_.agents * options_.slots);
    const double rate = total_slots / std::chrono::duration<double>(options_.unit_time).count();
    const double fair_share_units = rate / static_cast<double>(options_.accounts) * fair_share_seconds;
    result_.gap_units = meter_.gap();
    result_.gap_seconds = meter_.gap() / fair_share_units;
    result_.jain = meter_.jain_index();
    result_.utilisation = sample_count_ > 0.0 ? used_slots_sum_ / (sample_count_ * total_slots) : 1.0;
    result_.report_items /= seconds * static_cast<double>(options_.agents);
    return result_;
}

void fleet::schedule(duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++insertion_count_, std::move(action)});
}

void fleet::feed(std::size_t agent, decltype(agent_event::content) content)
{
    for (agent_effect& it : agents_[agent]->reduce(agent_event{now_, random_(), std::move(content)})) {
        apply_effect(agent, std::move(it));
    }
}

void fleet::apply_effect(std::size_t agent, agent_effect effect)
{
    if (auto* const send = std::get_if<send_effect>(&effect)) {
        const std::size_t entry = send->link - 1;
        schedule(options_.link_delay,
                 [this, entry, agent, value = std::move(send->content)] { on_message(entry, agent, value); });
    }
    else if (const auto* const call = std::get_if<start_call_effect>(&effect)) {
        start_call(agent, *call);
    }
    else if (const auto* const tick = std::get_if<schedule_tick_effect>(&effect)) {
        ticks_[agent] = tick->at;
        schedule(std::max(tick->at - now_, duration{1}), [this, agent, at = tick->at] {
            if (ticks_[agent] == at) {
                feed(agent, tick_event{});
            }
        });
    }
    assert(!std::holds_alternative<close_link_effect>(effect));
}

void fleet::on_message(std::size_t entry, std::size_t agent, const message& value)
{
    scripted_entry& it = entries_[entry];
    if (const auto* const grant = std::get_if<grant_message>(&value)) {
        const std::size_t account = account_of(grant->client_account);
        if (it.queues[account].empty()) {
            ++result_.declines;
            send_message(entry, agent, decline_message{grant->grant});
            return;
        }
        submit(entry, agent, account, grant->grant);
    }
    else if (const auto* const free_slots = std::get_if<free_slots_message>(&value)) {
        it.free_slots[agent] = free_slots->free_slots;
        use_free_slots(entry);
    }
    else if (const auto* const end = std::get_if<end_message>(&value)) {
        send_message(entry, agent, ack_message{end->id, end->attempt, end->length, true});
    }
    else if (std::holds_alternative<refuse_message>(value)) {
        ++result_.refusals;
    }
    else if (const auto* const reported = std::get_if<service_report_message>(&value)) {
        it.ledger->merge(*reported);
        for (const service_source& source : reported->sources) {
            result_.report_items += static_cast<double>(source.items.size());
        }
    }
}

void fleet::send_message(std::size_t entry, std::size_t agent, message value)
{
    schedule(options_.link_delay, [this, entry, agent, value = std::move(value)] {
        feed(agent, link_message_event{link_of(entry), value});
    });
}

void fleet::start_call(std::size_t agent, const start_call_effect& effect)
{
    auto call = std::make_shared<running_call>();
    call->agent = agent;
    call->call = effect.call;
    call->account = std::stoul(effect.target);
    call->remaining_cost = std::stod(effect.method);
    schedule(duration{100}, [this, call] {
        feed(call->agent, endpoint_head_event{call->call, 200, {}, 1});
        continue_call(call);
    });
}

void fleet::continue_call(const std::shared_ptr<running_call>& call)
{
    const double n =
        std::min(call->remaining_cost, static_cast<double>(stream_interval / options_.unit_time));
    schedule(options_.unit_time * static_cast<long>(n), [this, call, n] {
        meter_.on_service(call->account, n);
        call->remaining_cost -= n;
        feed(call->agent, endpoint_part_event{call->call, std::string(static_cast<std::size_t>(n), '\n')});
        if (call->remaining_cost >= 1.0) {
            continue_call(call);
            return;
        }
        feed(call->agent, endpoint_end_event{call->call, call_outcome::complete});
    });
}

void fleet::generate_arrivals(std::size_t account)
{
    const std::size_t first = account * options_.entries / options_.accounts;
    if (options_.load <= 0.0) {
        while (waiting_[account] < backlogged_queue_length) {
            add_waiting((first + arrived_[account] % options_.entries_per_account) % options_.entries,
                        account);
        }
        return;
    }
    // Requests arrive in bursts: 30 s at three times the mean rate, then 60 s without arrivals. The phases of
    // the accounts are spread evenly over the period.
    constexpr double burst = 30.0;
    constexpr double period = 90.0;
    const double total_slots = static_cast<double>(options_.agents * options_.slots);
    const double rate =
        total_slots / std::chrono::duration<double>(options_.unit_time).count() * options_.load;
    const double mean_cost = medians_[account] * std::exp(options_.cost_spread * options_.cost_spread / 2.0);
    const double arrivals = rate / static_cast<double>(options_.accounts) / mean_cost * period / burst;
    const double at = std::chrono::duration<double>(now_.time_since_epoch()).count();
    const double phase = period * static_cast<double>(account) / static_cast<double>(options_.accounts);
    if (std::fmod(at + phase, period) < burst) {
        add_waiting((first + arrived_[account] % options_.entries_per_account) % options_.entries, account);
    }
    const double gap = std::exponential_distribution<double>{arrivals}(random_);
    schedule(std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap}),
             [this, account] { generate_arrivals(account); });
}

void fleet::add_waiting(std::size_t entry, std::size_t account)
{
    ++arrived_[account];
    entries_[entry].queues[account].push_back({draw_cost(account), now_});
    change_waiting(account, 1);
    use_free_slots(entry);
    schedule_demand_report(entry);
}

void fleet::submit(std::size_t entry, std::size_t agent, std::size_t account, std::uint64_t grant)
{
    scripted_entry& it = entries_[entry];
    const waiting_request next = it.queues[account].front();
    it.queues[account].pop_front();
    submit_message value;
    value.id = request_id{it.incarnation, ++it.last_sequence};
    value.grant = grant;
    value.client_account = keys_[account];
    value.is_idempotent = true;
    value.is_resumable = true;
    value.estimated_cost = medians_[account] * std::exp(options_.cost_spread * options_.cost_spread / 2.0);
    value.time_to_deadline = std::chrono::hours{1};
    value.target = std::to_string(account);
    value.method = std::to_string(next.cost);
    ++result_.requests;
    send_message(entry, agent, value);
    change_waiting(account, -1);
    schedule_demand_report(entry);
    if (options_.load <= 0.0) {
        generate_arrivals(account);
    }
}

void fleet::use_free_slots(std::size_t entry)
{
    scripted_entry& it = entries_[entry];
    for (std::size_t agent = 0; agent < it.free_slots.size(); ++agent) {
        for (std::size_t n = 0; n < it.queues.size() && it.free_slots[agent] > 0; ++n) {
            it.last_considered_account = (it.last_considered_account + 1) % it.queues.size();
            const std::size_t account = it.last_considered_account;
            if (!it.queues[account].empty()) {
                --it.free_slots[agent];
                submit(entry, agent, account, 0);
            }
        }
    }
}

void fleet::change_waiting(std::size_t account, int by)
{
    waiting_[account] += static_cast<std::size_t>(by);
    meter_.set_backlogged(account, waiting_[account] > 0);
}

void fleet::schedule_demand_report(std::size_t entry)
{
    if (!std::exchange(entries_[entry].is_demand_report_scheduled, true)) {
        const duration wait = entries_[entry].demand_reported_at + demand_interval - now_;
        schedule(std::max(wait, duration{}), [this, entry] { report_demand(entry); });
    }
}

void fleet::report_demand(std::size_t entry)
{
    scripted_entry& it = entries_[entry];
    it.is_demand_report_scheduled = false;
    demand_message value;
    for (std::size_t account = 0; account < it.queues.size(); ++account) {
        const std::size_t n = it.queues[account].size();
        const std::size_t reported = it.reported[account];
        if ((n == 0) == (reported == 0) && n < 2 * reported && reported < 2 * n) {
            continue;
        }
        if (n == reported) {
            continue;
        }
        it.reported[account] = n;
        const duration age = n > 0 ? now_ - it.queues[account].front().arrived : duration{};
        const double cost = medians_[account] * std::exp(options_.cost_spread * options_.cost_spread / 2.0);
        value.items.push_back({keys_[account], static_cast<std::uint32_t>(n), age, cost});
    }
    if (value.items.empty()) {
        return;
    }
    it.demand_reported_at = now_;
    value.sequence = ++it.demand_sequence;
    for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
        send_message(entry, agent, value);
    }
}

void fleet::report_service(std::size_t entry)
{
    const service_report_message value = entries_[entry].ledger->take_changes(account_key::of(service_name));
    for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
        send_message(entry, agent, value);
    }
    schedule(options_.report_interval, [this, entry] { report_service(entry); });
}

void fleet::sample()
{
    meter_.sample();
    const auto is_waiting = [](std::size_t n) { return n > 0; };
    if (std::any_of(waiting_.begin(), waiting_.end(), is_waiting)) {
        sample_count_ += 1.0;
        for (const auto& it : agents_) {
            used_slots_sum_ += static_cast<double>(it->state().running());
        }
    }
    schedule(sample_interval, [this] { sample(); });
}

double fleet::draw_cost(std::size_t account)
{
    std::lognormal_distribution<double> cost{std::log(medians_[account]), options_.cost_spread};
    return std::clamp(std::floor(cost(random_)), 1.0, options_.max_cost);
}

std::size_t fleet::account_of(account_key key) const
{
    const auto it = std::find(keys_.begin(), keys_.end(), key);
    assert(it != keys_.end());
    return static_cast<std::size_t>(it - keys_.begin());
}

} // namespace hemlocknotch::bench
