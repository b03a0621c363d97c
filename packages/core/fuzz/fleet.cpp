#include "fleet.hpp"

#include <hemlocknotch/core/damped_fair_order.hpp>
#include <hemlocknotch/core/fixed_concurrency_limit.hpp>

#include "describe.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace hemlocknotch::fuzz {
namespace {

constexpr std::size_t entry_count = 2;
constexpr std::size_t agent_count = 3;
constexpr std::uint32_t endpoint_limit = 2;
constexpr std::size_t max_waiting = 24;
constexpr std::size_t max_held_bytes = 1500;
constexpr std::size_t window_bytes = 64;

endpoint_address address_of(std::size_t agent)
{
    return endpoint_address::parse("127.0.0.1:" + std::to_string(agent + 1)).value();
}

std::string domain_of(std::size_t n)
{
    return std::string(1, static_cast<char>('a' + n % 2));
}

void add_profile(configuration& to, const std::string& name, bool is_idempotent, bool is_resumable)
{
    to.profiles[name] = profile_definition{
        name, "model", is_idempotent, urgency::normal, std::chrono::seconds{4}, 1000, 3, is_resumable};
}

std::shared_ptr<configuration> make_configuration(std::uint64_t revision)
{
    auto made = std::make_shared<configuration>();
    made->revision = revision;
    made->document = std::to_string(revision);
    made->services["model"] = {"model", account_key::of("model"), cost_unit::lines, 10.0};
    add_profile(*made, "history", true, true);
    add_profile(*made, "draft", true, false);
    add_profile(*made, "transfer", false, false);
    for (const std::string name : {"north", "south", "east"}) {
        made->client_accounts[name] = {name, account_key::of(name), 1.0};
        made->weights[account_key::of(name)] = 1.0;
    }
    return made;
}

} // namespace

fleet::fleet(const fleet_options& options)
    : options_{options}, time_{options.seed}, entries_(entry_count), agents_(agent_count)
{
    apply({});
    for (std::size_t n = 0; n < agent_count; ++n) {
        agents_[n].endpoint = std::make_unique<fake_endpoint>(time_, oracle_, options_.mutation);
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
    tell_members();
    watch_store();
    call_in();
    break_something();
    while (steps_ < options_.steps) {
        time_.step();
    }
    heal();
    constexpr duration quiet_time = std::chrono::seconds{200};
    for (const instant end = time_.now() + quiet_time; time_.now() < end;) {
        time_.step();
    }
    oracle_.require_all_over();
    for (const entry_node& it : entries_) {
        const entry_status status = it.reducer->state().status();
        require(status.waiting + status.outstanding == 0, "an entry without callers holds no requests");
    }
    for (const agent_node& it : agents_) {
        const agent_state& state = it.reducer->state();
        require(state.running() + state.waiting() + state.ended() == 0, "an agent without work holds none");
    }
}

void fleet::start_entry(std::size_t n)
{
    entry_node& it = entries_[n];
    trace("start " + it.identity.name);
    stop_links(std::exchange(it.links, {}));
    for (const auto& [exchange, caller] : std::exchange(it.callers, {})) {
        oracle_.on_cut(caller);
    }
    entry_options options;
    it.identity.incarnation = time_.bits();
    options.identity = it.identity;
    options.failure_domain = it.domain;
    options.max_waiting = is_mutated("queue-bound") ? 10 * max_waiting : max_waiting;
    options.max_held_bytes = is_mutated("queue-bound") ? 10 * max_held_bytes : max_held_bytes;
    options.reply_window_bytes = window_bytes;
    it.reducer = std::make_unique<entry_reducer>(options);
    it.revision = is_mutated("revision-falls") ? it.revision : 0;
    it.is_stopping = false;
    feed(it, tick_event{});
}

void fleet::start_agent(std::size_t n)
{
    agent_node& it = agents_[n];
    trace("start " + it.identity.name);
    stop_links(std::exchange(it.links, {}));
    it.endpoint->forget_calls();
    it.seen.clear();
    agent_options options;
    if (!is_mutated("same-incarnation") || it.identity.incarnation == 0) {
        it.identity.incarnation = time_.bits();
    }
    options.identity = it.identity;
    options.failure_domain = it.domain;
    options.service = "model";
    options.send_window_bytes = window_bytes;
    const std::uint32_t limit = is_mutated("limit-exceeded") ? endpoint_limit + 1 : endpoint_limit;
    it.reducer = std::make_unique<agent_reducer>(options, std::make_unique<damped_fair_order>(),
                                                 std::make_unique<fixed_concurrency_limit>(limit));
    it.revision = 0;
    it.is_stopping = false;
    it.state = member_state::live;
    feed(it, tick_event{});
}

void fleet::stop_links(const std::map<link_id, connection_ptr>& links)
{
    for (const auto& [id, link] : links) {
        cut(link);
    }
}

void fleet::feed(entry_node& to, decltype(entry_event::content) content)
{
    ++steps_;
    for (const auto& effect : to.reducer->reduce({time_.now(), time_.bits(), std::move(content)})) {
        std::visit([&](const auto& it) { on(to, it); }, effect);
    }
    check(to);
}

void fleet::feed(agent_node& to, decltype(agent_event::content) content)
{
    ++steps_;
    for (const auto& effect : to.reducer->reduce({time_.now(), time_.bits(), std::move(content)})) {
        std::visit([&](const auto& it) { on(to, it); }, effect);
    }
    check(to);
}

template <class Node, class Content>
void fleet::feed_if(Node& to, const process_identity& process, Content content)
{
    if (to.identity == process) {
        feed(to, std::move(content));
    }
}

void fleet::check(entry_node& of)
{
    const entry_status status = of.reducer->state().status();
    require(status.revision >= of.revision, "the revision of a process never falls");
    of.revision = status.revision;
    require(status.waiting + status.outstanding <= 2 * max_waiting, "the number of requests held is bounded");
    require(of.callers.size() <= status.waiting + status.outstanding, "an entry forgets no caller");
    require(status.held_bytes <= max_held_bytes, "the bytes held are bounded");
}

void fleet::check(agent_node& of)
{
    require(of.reducer->state().revision() >= of.revision, "the revision of a process never falls");
    of.revision = of.reducer->state().revision();
    require(of.endpoint->running() <= endpoint_limit, "an endpoint runs no more than its limit");
}

void fleet::on(entry_node& from, const open_link_effect& effect)
{
    const std::size_t n = effect.address.port() - 1U;
    auto link = std::make_shared<connection>();
    link->entry = static_cast<std::size_t>(&from - entries_.data());
    link->agent = n;
    link->entry_process = from.identity;
    link->agent_process = agents_[n].identity;
    link->entry_link = effect.link;
    from.links[effect.link] = link;
    time_.after(time_.time(100, 5000), [this, link, address = effect.address] {
        agent_node& agent = agents_[link->agent];
        entry_node& entry = entries_[link->entry];
        const bool is_refused = agent.identity != link->agent_process || (is_faulty_ && time_.once_in(8));
        if (is_refused || entry.identity != link->entry_process) {
            cut(link);
            return;
        }
        link->is_open = true;
        link->agent_link = ++agent.last_link;
        agent.links[link->agent_link] = link;
        feed(agent, link_accepted_event{link->agent_link});
        feed_if(entry, link->entry_process, link_opened_event{link->entry_link, address});
    });
}

template <class Node>
void fleet::on(Node& from, const send_effect& effect)
{
    const auto it = from.links.find(effect.link);
    if (it == from.links.end() || !it->second->is_open || it->second->is_silent) {
        return;
    }
    constexpr bool is_down = std::is_same_v<Node, entry_node>;
    deliver(it->second, is_down, effect.content);
    if (options_.is_disordered && is_faulty_ && time_.once_in(50)) {
        deliver(it->second, is_down, effect.content);
    }
}

void fleet::deliver(const connection_ptr& link, bool is_down, message content)
{
    instant at = time_.now() + time_.time(100, 4000);
    at = std::max(at, link->stalled_until);
    instant& last = is_down ? link->last_down : link->last_up;
    const bool is_late = options_.is_disordered && is_faulty_ && time_.once_in(50);
    at = is_late ? at + time_.time(0, 50000) : std::max(at, last);
    last = is_late ? last : at;
    time_.at(at, [this, link, is_down, kept = std::move(content)] { hand_over(link, is_down, kept); });
}

void fleet::hand_over(const connection_ptr& link, bool is_down, const message& content)
{
    if (!link->is_open || link->is_silent) {
        return;
    }
    trace(entries_[link->entry].identity.name + (is_down ? " -> " : " <- ") +
          agents_[link->agent].identity.name + " " + describe(content));
    if (!is_down) {
        message mutated = content;
        auto* const part = std::get_if<part_message>(&mutated);
        if (part != nullptr && is_mutated("crossed-answer")) {
            part->bytes = std::string(part->bytes.size(), '!');
        }
        feed_if(entries_[link->entry], link->entry_process, link_message_event{link->entry_link, mutated});
        return;
    }
    agent_node& to = agents_[link->agent];
    const auto* const submit = std::get_if<submit_message>(&content);
    if (submit != nullptr && to.seen[submit->id].first < submit->attempt) {
        to.seen[submit->id] = {submit->attempt, is_out(to)};
    }
    feed_if(to, link->agent_process, link_message_event{link->agent_link, content});
}

template <class Node>
void fleet::on(Node& from, const close_link_effect& effect)
{
    const auto it = from.links.find(effect.link);
    if (it != from.links.end()) {
        time_.after(time_.time(100, 2000), [this, link = it->second] { cut(link); });
    }
}

void fleet::cut(const connection_ptr& link)
{
    link->is_open = false;
    entry_node& entry = entries_[link->entry];
    agent_node& agent = agents_[link->agent];
    if (entry.identity == link->entry_process && entry.links.erase(link->entry_link) > 0) {
        time_.after(time_.time(100, 5000), [this, link] {
            feed_if(entries_[link->entry], link->entry_process, link_closed_event{link->entry_link, "cut"});
        });
    }
    if (agent.identity == link->agent_process && agent.links.erase(link->agent_link) > 0) {
        time_.after(time_.time(100, 5000), [this, link] {
            feed_if(agents_[link->agent], link->agent_process, link_closed_event{link->agent_link, "cut"});
        });
    }
}

void fleet::on(entry_node& from, const reply_head_effect& effect)
{
    oracle_.on_head(from.callers.at(effect.exchange));
}

void fleet::on(entry_node& from, const reply_part_effect& effect)
{
    const std::size_t n = from.callers.at(effect.exchange);
    oracle_.on_part(n, effect.bytes, window_bytes);
    const duration pause = time_.once_in(40) ? time_.time(500000, 4000000) : time_.time(100, 9000);
    time_.after(pause, [this, n, &from, process = from.identity, length = oracle_.at(n).received.size()] {
        caller_record& caller = oracle_.at(n);
        caller.taken = std::max<std::uint64_t>(caller.taken, length);
        feed_if(from, process, caller_progress_event{caller.exchange, length});
    });
}

void fleet::on(entry_node& from, const reply_end_effect& effect)
{
    oracle_.on_end(from.callers.at(effect.exchange));
    from.callers.erase(effect.exchange);
}

void fleet::on(entry_node& from, const reply_abort_effect& effect)
{
    oracle_.on_abort(from.callers.at(effect.exchange), effect.reason);
    from.callers.erase(effect.exchange);
}

void fleet::on(entry_node& from, const reply_refusal_effect& effect)
{
    if (!is_mutated("refusal-lost")) {
        oracle_.on_refusal(from.callers.at(effect.exchange), effect.reason);
        from.callers.erase(effect.exchange);
    }
}

void fleet::on(entry_node& from, const claim_key_effect& effect)
{
    const std::string key = effect.client_account + "/" + effect.key;
    const bool is_taken = is_store_up_ || time_.once_in(2);
    const bool is_free = !claims_.contains(key) || is_mutated("claim-doubled");
    if (is_taken && is_free) {
        claims_[key] = effect.id;
    }
    const auto known = is_free ? claim_outcome::won : claim_outcome::held_by_other;
    const claim_result_event result{effect.id, is_store_up_ ? known : claim_outcome::unavailable};
    time_.after(time_.time(500, 20000),
                [this, &from, process = from.identity, result] { feed_if(from, process, result); });
}

void fleet::on(entry_node& /*from*/, const settle_claim_effect& effect)
{
    const auto it = claims_.find(effect.client_account + "/" + effect.key);
    if (it != claims_.end() && it->second == effect.id && effect.outcome == verdict::not_run) {
        claims_.erase(it);
    }
}

template <class Node>
void fleet::on(Node& from, const read_configuration_effect& effect)
{
    time_.after(time_.time(100, 9000), [this, &from, process = from.identity, revision = effect.revision] {
        feed_if(from, process, configuration_event{as_read_by(from, revision)});
    });
}

template <class Node>
void fleet::on(Node& from, const watch_store_effect& effect)
{
    from.is_watching = effect.is_wanted;
}

template <class Node>
void fleet::on(Node& from, const schedule_tick_effect& effect)
{
    from.tick_at = effect.at;
    time_.at(effect.at, [this, &from, process = from.identity, at = effect.at] {
        if (from.tick_at == at) {
            feed_if(from, process, tick_event{});
        }
    });
}

template <class Node>
void fleet::on(Node& from, const stopped_effect& /*effect*/)
{
    time_.after(time_.time(1000, 500000), [this, &from, process = from.identity] {
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

void fleet::on(agent_node& from, const start_call_effect& effect)
{
    require(!from.seen[effect.id].second, "an agent out of service starts nothing that came later");
    from.endpoint->start(effect, [this, &from, process = from.identity](auto event) {
        std::visit([&](const auto& it) { feed_if(from, process, it); }, event);
    });
}

void fleet::on(agent_node& from, const stop_call_effect& effect)
{
    from.endpoint->stop(effect);
}

void fleet::on(agent_node& from, const probe_endpoint_effect& /*effect*/)
{
    from.endpoint->probe([this, &from, process = from.identity](auto event) {
        std::visit([&](const auto& it) { feed_if(from, process, it); }, event);
    });
}

void fleet::call_in()
{
    if (!is_faulty_) {
        return;
    }
    time_.after(time_.time(1000, time_.once_in(4) ? 150000 : 15000), [this] { call_in(); });
    const std::vector<std::string> accounts{"north", "south", "east"};
    const std::vector<std::string> profiles{"history", "draft", "transfer", "transfer"};
    caller_request_event request;
    request.exchange = ++last_exchange_;
    request.client_account = accounts.at(time_.between(0, 2));
    request.profile = profiles.at(time_.between(0, 3));
    request.body = std::string(time_.between(0, 100), 'x');
    caller_record caller;
    caller.entry = time_.between(0, entry_count - 1);
    caller.exchange = request.exchange;
    caller.is_idempotent = request.profile != "transfer";
    if (request.profile == "transfer" && time_.once_in(3)) {
        request.idempotency_key = std::to_string(time_.between(1, 5 + last_exchange_ / 4));
        caller.key = request.client_account + "/" + request.idempotency_key;
    }
    const std::size_t n = oracle_.add(caller);
    request.target = std::to_string(n);
    entry_node& entry = entries_[caller.entry];
    entry.callers[request.exchange] = n;
    feed(entry, request);
    if (time_.once_in(20)) {
        time_.after(time_.time(0, 400000), [this, n, &entry, process = entry.identity] {
            if (entry.identity == process && !oracle_.at(n).is_over) {
                oracle_.on_cut(n);
                entry.callers.erase(oracle_.at(n).exchange);
                feed(entry, caller_gone_event{oracle_.at(n).exchange});
            }
        });
    }
}

void fleet::break_something()
{
    if (!is_faulty_) {
        return;
    }
    time_.after(time_.time(1000, 1000000), [this] { break_something(); });
    switch (time_.between(0, 7)) {
    case 0:
    case 1:
    case 2:
        break_link();
        break;
    case 3:
        break_process();
        break;
    case 4:
        agents_[time_.between(0, agent_count - 1)].endpoint->restart();
        break;
    case 5:
        is_store_up_ = !is_store_up_;
        break;
    default:
        change_service();
    }
}

void fleet::break_link()
{
    std::vector<connection_ptr> links;
    for (const entry_node& entry : entries_) {
        for (const auto& [id, link] : entry.links) {
            links.push_back(link);
        }
    }
    if (links.empty()) {
        return;
    }
    const connection_ptr link = links.at(time_.between(0, links.size() - 1));
    switch (time_.between(0, 2)) {
    case 0:
        trace("cut");
        cut(link);
        break;
    case 1:
        trace("silence");
        link->is_silent = true;
        break;
    default:
        trace("stall");
        link->stalled_until = time_.now() + time_.time(100000, 8000000);
    }
}

void fleet::break_process()
{
    const std::size_t entry = time_.between(0, entry_count - 1);
    const std::size_t agent = time_.between(0, agent_count - 1);
    switch (time_.between(0, 4)) {
    case 0:
        start_entry(entry);
        break;
    case 1:
        start_agent(agent);
        break;
    case 2:
        feed(entries_[entry], stop_event{time_.once_in(4)});
        break;
    case 3:
        feed(agents_[agent], stop_event{time_.once_in(4)});
        break;
    default:
        agents_[agent].state = member_state::leaving;
    }
}

void fleet::change_service()
{
    out_of_service out;
    if (time_.once_in(3)) {
        out.failure_domains.insert(domain_of(time_.between(0, 1)));
    }
    else if (time_.once_in(2)) {
        out.instances.insert(agents_[time_.between(0, agent_count - 1)].identity.name);
    }
    apply(out);
}

void fleet::heal()
{
    is_faulty_ = false;
    is_store_up_ = true;
    apply({});
    for (agent_node& it : agents_) {
        it.endpoint->is_faulty = false;
    }
}

void fleet::apply(const out_of_service& out)
{
    auto next = make_configuration(revisions_.size() + 1);
    next->out = out;
    revisions_.push_back(std::move(next));
}

void fleet::tell_members()
{
    time_.after(time_.time(100000, 900000), [this] { tell_members(); });
    std::vector<member> members;
    for (std::size_t n = 0; n < agent_count; ++n) {
        const agent_node& it = agents_[n];
        members.push_back(
            {it.identity.name, process_role::agent, address_of(n), it.domain, "model", it.state});
    }
    for (const entry_node& it : entries_) {
        members.push_back({it.identity.name, process_role::entry, address_of(0), it.domain, "", it.state});
    }
    for (entry_node& it : entries_) {
        feed(it, members_event{members});
    }
    for (agent_node& it : agents_) {
        feed(it, members_event{members});
    }
}

void fleet::watch_store()
{
    time_.after(time_.time(50000, 400000), [this] { watch_store(); });
    const auto tell = [this](auto& it) {
        if (!it.is_watching) {
            return;
        }
        feed(it, store_contact_event{is_store_up_});
        const std::uint64_t newest = revisions_.size();
        const std::uint64_t read = time_.once_in(4) ? time_.between(1, newest) : newest;
        if (is_store_up_) {
            feed(it, configuration_event{as_read_by(it, read)});
        }
    };
    std::for_each(entries_.begin(), entries_.end(), tell);
    std::for_each(agents_.begin(), agents_.end(), tell);
}

template <class Node>
configuration_ptr fleet::as_read_by(const Node& /*reader*/, std::uint64_t revision) const
{
    const configuration_ptr& real = revisions_.at(revision - 1);
    if (std::is_same_v<Node, agent_node> && is_mutated("work-when-out")) {
        auto changed = std::make_shared<configuration>(*real);
        changed->out = {};
        return changed;
    }
    return real;
}

bool fleet::is_out(const agent_node& it) const
{
    return it.revision > 0 && revisions_.at(it.revision - 1)->is_out(it.identity.name, it.domain);
}

void fleet::trace(const std::string& text) const
{
    if (steps_ >= options_.trace_from) {
        std::cerr << steps_ << " " << time_.now().time_since_epoch().count() << " " << text << "\n";
    }
}

} // namespace hemlocknotch::fuzz
