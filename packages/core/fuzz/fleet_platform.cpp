#include "fleet.hpp"
#include "fleet_size.hpp"

#include <algorithm>

namespace hemlocknotch::fuzz {

namespace {

void add_profile(configuration& to, const std::string& name, bool is_idempotent, bool is_resumable)
{
    to.profiles[name] = profile_definition{
        name, "model", is_idempotent, urgency::normal, std::chrono::seconds{4}, 1000, 3, is_resumable};
}

std::shared_ptr<configuration> create_configuration(std::uint64_t revision)
{
    auto result = std::make_shared<configuration>();
    result->revision = revision;
    result->document = std::to_string(revision);
    result->services["model"] = {"model", account_key::of("model"), cost_unit::lines, 10.0};
    add_profile(*result, "history", true, true);
    add_profile(*result, "draft", true, false);
    add_profile(*result, "transfer", false, false);
    for (const std::string name : {"north", "south", "east"}) {
        result->client_accounts[name] = {name, account_key::of(name), 1.0};
        result->weights[account_key::of(name)] = 1.0;
    }
    return result;
}

} // namespace

void fleet::on(entry_node& from, const reply_head_effect& effect)
{
    oracle_.on_head(from.callers.at(effect.exchange));
}

void fleet::on(entry_node& from, const reply_part_effect& effect)
{
    const std::size_t n = from.callers.at(effect.exchange);
    oracle_.on_part(n, effect.bytes, window_bytes);
    const duration pause = timeline_.one_in(40) ? timeline_.random_duration(500000, 4000000)
                                                : timeline_.random_duration(100, 9000);
    timeline_.after(pause, [this, n, &from, process = from.identity, length = oracle_.at(n).received.size()] {
        caller_record& caller = oracle_.at(n);
        caller.consumed = std::max<std::uint64_t>(caller.consumed, length);
        feed_if_current(from, process, caller_progress_event{caller.exchange, length});
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
    const bool is_taken = is_store_up_ || timeline_.one_in(2);
    const bool is_free = !claims_.contains(key) || is_mutated("claim-doubled");
    if (is_taken && is_free) {
        claims_[key] = effect.id;
    }
    const auto known = is_free ? claim_outcome::won : claim_outcome::held_by_other;
    const claim_result_event result{effect.id, is_store_up_ ? known : claim_outcome::unavailable};
    timeline_.after(timeline_.random_duration(500, 20000), [this, &from, process = from.identity, result] {
        feed_if_current(from, process, result);
    });
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
    timeline_.after(timeline_.random_duration(100, 9000), [this, &from, process = from.identity,
                                                           revision = effect.revision] {
        feed_if_current(from, process, configuration_event{configuration_for(from, revision)});
    });
}

template <class Node>
void fleet::on(Node& from, const watch_store_effect& effect)
{
    from.is_watching = effect.is_wanted;
}

void fleet::on(agent_node& from, const start_call_effect& effect)
{
    require(!from.last_attempts[effect.id].second,
            "an agent that knows it is out of service starts no newly received request");
    from.endpoint->start(effect, [this, &from, process = from.identity](auto event) {
        std::visit([&](const auto& it) { feed_if_current(from, process, it); }, event);
    });
}

void fleet::on(agent_node& from, const stop_call_effect& effect)
{
    from.endpoint->stop(effect);
}

void fleet::on(agent_node& from, const probe_endpoint_effect& /*effect*/)
{
    from.endpoint->probe([this, &from, process = from.identity](auto event) {
        std::visit([&](const auto& it) { feed_if_current(from, process, it); }, event);
    });
}

void fleet::send_caller_request()
{
    if (!is_faulty_) {
        return;
    }
    const std::uint64_t pause = options_.is_fault_free ? 8000 : timeline_.one_in(4) ? 150000 : 15000;
    timeline_.after(timeline_.random_duration(1000, pause), [this] { send_caller_request(); });
    const std::vector<std::string> accounts{"north", "south", "east"};
    const std::vector<std::string> profiles{"history", "draft", "transfer", "transfer"};
    caller_request_event request;
    request.exchange = ++last_exchange_;
    request.client_account = accounts.at(timeline_.random_between(0, 2));
    request.profile = profiles.at(timeline_.random_between(0, 3));
    request.body = std::string(timeline_.random_between(0, 100), 'x');
    caller_record caller;
    caller.entry = timeline_.random_between(0, entry_count - 1);
    caller.exchange = request.exchange;
    caller.is_idempotent = request.profile != "transfer";
    if (request.profile == "transfer" && timeline_.one_in(3)) {
        request.idempotency_key = std::to_string(timeline_.random_between(1, 5 + last_exchange_ / 4));
        caller.key = request.client_account + "/" + request.idempotency_key;
    }
    const std::size_t n = oracle_.add(caller);
    request.target = std::to_string(n);
    entry_node& entry = entries_[caller.entry];
    entry.callers[request.exchange] = n;
    feed(entry, request);
    if (timeline_.one_in(20)) {
        timeline_.after(timeline_.random_duration(0, 400000), [this, n, &entry, process = entry.identity] {
            if (entry.identity == process && !oracle_.at(n).is_finished) {
                oracle_.on_disconnect(n);
                entry.callers.erase(oracle_.at(n).exchange);
                feed(entry, caller_disconnected_event{oracle_.at(n).exchange});
            }
        });
    }
}

void fleet::publish_configuration(const out_of_service& out)
{
    auto next = create_configuration(revisions_.size() + 1);
    next->out = out;
    revisions_.push_back(std::move(next));
}

void fleet::publish_members()
{
    timeline_.after(timeline_.random_duration(100000, 900000), [this] { publish_members(); });
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

void fleet::notify_store_watchers()
{
    timeline_.after(timeline_.random_duration(50000, 400000), [this] { notify_store_watchers(); });
    const auto notify = [this](auto& it) {
        if (!it.is_watching) {
            return;
        }
        feed(it, store_contact_event{is_store_up_});
        const std::uint64_t newest = revisions_.size();
        const std::uint64_t read = timeline_.one_in(4) ? timeline_.random_between(1, newest) : newest;
        if (is_store_up_) {
            feed(it, configuration_event{configuration_for(it, read)});
        }
    };
    std::for_each(entries_.begin(), entries_.end(), notify);
    std::for_each(agents_.begin(), agents_.end(), notify);
}

template <class Node>
configuration_ptr fleet::configuration_for(const Node& /*reader*/, std::uint64_t revision) const
{
    const configuration_ptr& real = revisions_.at(revision - 1);
    if (std::is_same_v<Node, agent_node> && is_mutated("work-when-out")) {
        auto changed = std::make_shared<configuration>(*real);
        changed->out = {};
        return changed;
    }
    return real;
}

bool fleet::is_out_of_service(const agent_node& it) const
{
    return it.revision > 0 && revisions_.at(it.revision - 1)->is_out_of_service(it.identity.name, it.domain);
}

template void fleet::on(entry_node&, const read_configuration_effect&);
template void fleet::on(agent_node&, const read_configuration_effect&);
template void fleet::on(entry_node&, const watch_store_effect&);
template void fleet::on(agent_node&, const watch_store_effect&);

} // namespace hemlocknotch::fuzz
