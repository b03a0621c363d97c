// Embeds the core library: an entry and an agent serve one request in one process, without network, clock or
// threads. The program does what a shell does: it turns the effects of each reducer into events.
#include <hemlocknotch/core/agent_reducer.hpp>
#include <hemlocknotch/core/damped_fair_order.hpp>
#include <hemlocknotch/core/entry_reducer.hpp>
#include <hemlocknotch/core/fixed_concurrency_limit.hpp>

#include <chrono>
#include <deque>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace {

using namespace hemlocknotch;

const std::string answer_text = "sow in September\nharvest in March\n";

configuration_ptr make_configuration()
{
    auto value = std::make_shared<configuration>();
    value->revision = 1;
    value->services["gardener"] = {"gardener", account_key::of("gardener"), cost_unit::lines, 2.0};
    profile_definition calendar;
    calendar.name = "calendar";
    calendar.service = "gardener";
    calendar.is_idempotent = true;
    calendar.deadline = std::chrono::seconds{10};
    calendar.max_body_bytes = 1000;
    value->profiles["calendar"] = calendar;
    value->client_accounts["farm"] = {"farm", account_key::of("farm"), 1.0};
    value->weights[account_key::of("farm")] = 1.0;
    return value;
}

entry_options make_entry_options()
{
    entry_options options;
    options.identity = {"entry-a", 11};
    options.failure_domain = "a";
    return options;
}

agent_options make_agent_options()
{
    agent_options options;
    options.identity = {"agent-a", 22};
    options.failure_domain = "a";
    options.service = "gardener";
    return options;
}

/// An entry, an agent and what goes on between them.
class small_fleet {
public:
    small_fleet()
    {
        const member agent{"agent-a", process_role::agent, *endpoint_address::parse("127.0.0.1:1"),
                           "a",       "gardener",          member_state::live};
        to_entry(configuration_event{make_configuration()});
        to_agent(configuration_event{make_configuration()});
        to_agent(endpoint_health_event{true, 1, 0});
        to_entry(members_event{{agent}});
    }

    /// Sends a caller's request and goes on until its answer has ended or `steps` events have passed. Returns
    /// whether the answer is whole.
    bool serve(caller_request_event request, int steps)
    {
        to_entry(std::move(request));
        for (int n = 0; n < steps && !is_answered_; ++n) {
            now_ += std::chrono::milliseconds{1};
            to_entry(tick_event{});
            to_agent(tick_event{});
            while (!events_.empty()) {
                reduce_next();
            }
        }
        return is_answered_;
    }

    [[nodiscard]] const std::string& answer() const { return answer_; }

private:
    using any_event = std::variant<entry_event, agent_event>;

    void to_entry(decltype(entry_event::content) content)
    {
        events_.push_back(entry_event{now_, ++entropy_, std::move(content)});
    }

    void to_agent(decltype(agent_event::content) content)
    {
        events_.push_back(agent_event{now_, ++entropy_, std::move(content)});
    }

    void reduce_next()
    {
        any_event event = std::move(events_.front());
        events_.pop_front();
        if (const auto* it = std::get_if<entry_event>(&event)) {
            for (const entry_effect& effect : entry_.reduce(*it)) {
                std::visit([this](const auto& value) { on_entry_effect(value); }, effect);
            }
            return;
        }
        for (const agent_effect& effect : agent_.reduce(std::get<agent_event>(event))) {
            std::visit([this](const auto& value) { on_agent_effect(value); }, effect);
        }
    }

    void on_entry_effect(const open_link_effect& effect)
    {
        to_agent(link_accepted_event{effect.link});
        to_entry(link_opened_event{effect.link, effect.address});
    }

    void on_entry_effect(const send_effect& effect)
    {
        to_agent(link_message_event{effect.link, effect.content});
    }

    void on_entry_effect(const reply_head_effect& effect) { std::cout << "status " << effect.status << '\n'; }

    void on_entry_effect(const reply_part_effect& effect) { answer_ += effect.bytes; }

    void on_entry_effect(const reply_end_effect& /*effect*/) { is_answered_ = true; }

    void on_entry_effect(const reply_refusal_effect& effect)
    {
        std::cout << "refused: " << description_of(effect.reason.code) << '\n';
    }

    /// A real shell logs, measures, ticks at the time asked for, and calls the key-value service.
    template <class Effect>
    void on_entry_effect(const Effect& /*effect*/)
    {
    }

    void on_agent_effect(const send_effect& effect)
    {
        to_entry(link_message_event{effect.link, effect.content});
    }

    /// Plays the endpoint.
    void on_agent_effect(const start_call_effect& effect)
    {
        std::cout << "endpoint runs " << effect.method << ' ' << effect.target << '\n';
        to_agent(endpoint_head_event{effect.call, 200, {{"Content-Type", "text/plain"}}, 1});
        to_agent(endpoint_part_event{effect.call, answer_text});
        to_agent(endpoint_end_event{effect.call, call_outcome::complete});
    }

    template <class Effect>
    void on_agent_effect(const Effect& /*effect*/)
    {
    }

    entry_reducer entry_{make_entry_options()};
    agent_reducer agent_{make_agent_options(), std::make_unique<damped_fair_order>(),
                         std::make_unique<fixed_concurrency_limit>(4)};
    std::deque<any_event> events_;
    instant now_{};
    std::uint64_t entropy_ = 0;
    std::string answer_;
    bool is_answered_ = false;
};

} // namespace

int main()
{
    caller_request_event request;
    request.exchange = 1;
    request.client_account = "farm";
    request.profile = "calendar";
    request.method = "POST";
    request.target = "/v1/generate";
    request.body = "beans";
    small_fleet fleet;
    constexpr int max_steps = 1000;
    const bool is_whole = fleet.serve(std::move(request), max_steps);
    std::cout << fleet.answer();
    return is_whole && fleet.answer() == answer_text ? 0 : 1;
}
