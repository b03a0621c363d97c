#include "fleet_nodes.hpp"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <string>

namespace hemlocknotch::gateway::model {
namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

std::string event_text(unsigned n)
{
    return "id: " + std::to_string(n) + "\ndata: x\n\n";
}

} // namespace

void fleet_model::gateway_node::handle_event(call_id call, unsigned n, bool is_last)
{
    const auto now = fleet_.events_.now();
    if (n == 1) {
        answer_fields fields;
        fields.is_signed = true;
        fields.is_event_stream = true;
        decisions.on_head(call, {status_ok, {}}, fields, now);
    }
    decisions.on_part(call, event_text(n), now);
    if (is_last) {
        decisions.on_end(call, call_outcome::complete, now);
    }
}

void fleet_model::gateway_node::handle_rejection(call_id call)
{
    const auto now = fleet_.events_.now();
    answer_fields fields;
    fields.is_not_executed = true;
    decisions.on_head(call, {status_unavailable, {}}, fields, now);
    decisions.on_end(call, call_outcome::complete, now);
}

void fleet_model::gateway_node::reply(exchange_id exchange, const answer_head& head,
                                      std::string_view /*body*/)
{
    const auto it = remove_caller(exchange);
    duration wait{};
    for (const auto& field : head.headers) {
        if (field.name == "Retry-After") {
            wait = from_ms(std::strtod(field.value.c_str(), nullptr) * 1000.0);
        }
    }
    const auto is_refusal = head.status == status_unavailable;
    fleet_.events_.add_in(fleet_.options_.link_delay, [this, it, wait, is_refusal] {
        if (it->is_ended) {
            return;
        }
        if (is_refusal) {
            fleet_.handle_refusal(it, wait);
        }
        else {
            fleet_.record_end(*it, false);
        }
    });
}

void fleet_model::gateway_node::arm()
{
    const auto at = decisions.next_due(fleet_.events_.now());
    if (at >= armed_for_) {
        return;
    }
    armed_for_ = at;
    fleet_.events_.add(at, [this, at] {
        if (at != armed_for_) {
            return;
        }
        armed_for_ = instant::max();
        decisions.on_timer(fleet_.events_.now());
        arm();
    });
}

void fleet_model::gateway_node::start_call(const call_start& start)
{
    const auto engine = std::ranges::find(fleet_.engines_, start.instance,
                                          [](const auto& it) -> const std::string& { return it->name; });
    assert(engine != fleet_.engines_.end());
    auto* node = engine->get();
    engine_of_call_.insert_or_assign(start.call, node);
    const auto& fields = start.request->fields;
    // The headers of modelled requests carry the profile and the output length, which a real gateway does not
    // know.
    const auto profile = std::stoull(start.request->headers.at(0).value);
    const auto output = static_cast<unsigned>(std::stoul(start.request->headers.at(1).value));
    const auto account = std::stoull(start.account);
    double cost = 2.0 * output;
    for (const auto& part : fields.prompt) {
        cost += static_cast<double>(part.tokens);
    }
    const auto job = ++fleet_.last_id_;
    node->calls.emplace(job, engine_node::open_call{this, start.call, cost, profile, account, 0});
    fleet_.events_.add_in(fleet_.options_.link_delay, [node, job, output, request = start.request] {
        if (node->model && node->calls.contains(job)) {
            node->model->submit({job, request->fields.prompt, output});
        }
    });
}

void fleet_model::gateway_node::cancel_call(call_id call)
{
    const auto found = engine_of_call_.find(call);
    assert(found != engine_of_call_.end());
    auto* node = found->second;
    engine_of_call_.erase(found);
    fleet_.events_.add_in(fleet_.options_.link_delay, [this, node, call] {
        const auto it = std::ranges::find_if(node->calls, [&](const auto& open) {
            return open.second.gateway == this && open.second.call == call;
        });
        if (it == node->calls.end()) {
            return;
        }
        if (node->model) {
            node->model->cancel(it->first);
        }
        node->calls.erase(it);
    });
}

void fleet_model::gateway_node::send_part(exchange_id exchange, std::string_view /*bytes*/)
{
    const auto found = callers_.find(exchange);
    assert(found != callers_.end());
    fleet_.events_.add_in(fleet_.options_.link_delay, [this, it = found->second] {
        const auto now = fleet_.events_.now();
        const auto& profile = fleet_.load_.profiles()[it->drawn.profile];
        if (it->is_ended) {
            return;
        }
        const auto limit = it->is_begun ? profile.pause_objective : profile.objective;
        it->is_late = it->is_late || now - it->last_event_at > limit;
        if (!it->is_begun) {
            it->is_begun = true;
            fleet_.record_wait(*it);
            const auto ms = to_ms(now - it->requested_at);
            fleet_.figures_.profiles[it->drawn.profile].first_event_ms.push_back(ms);
            fleet_.figures_.accounts[it->drawn.account].first_event_ms.push_back(ms);
        }
        it->last_event_at = now;
    });
}

} // namespace hemlocknotch::gateway::model
