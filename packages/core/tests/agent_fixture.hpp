#pragma once

#include <hemlocknotch/core/agent_reducer.hpp>
#include <hemlocknotch/core/agent_state.hpp>
#include <hemlocknotch/core/fixed_concurrency_limit.hpp>
#include <hemlocknotch/core/fleet_fair_order.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::test {

inline constexpr std::uint64_t entry_incarnation = 77;
inline const account_key some_account = account_key::of("township-plots");

/// One agent with a fixed limit and the events that drive it; time moves only by `advance`.
struct agent_fixture {
    explicit agent_fixture(std::uint32_t limit = 2, agent_options settings = make_options())
        : options{std::move(settings)},
          agent{options, std::make_unique<fleet_fair_order>(),
                std::make_unique<fixed_concurrency_limit>(limit)}
    {
    }

    static agent_options make_options()
    {
        agent_options options;
        options.identity = {"agent-a", 5};
        options.failure_domain = "a";
        options.service = "gardener";
        return options;
    }

    static configuration_ptr make_configuration(std::uint64_t revision, cost_unit unit = cost_unit::lines)
    {
        auto value = std::make_shared<configuration>();
        value->revision = revision;
        value->services["gardener"] = {"gardener", account_key::of("gardener"), unit, 3.0};
        value->client_accounts["township-plots"] = {"township-plots", some_account, 1.0};
        value->weights[some_account] = 1.0;
        return value;
    }

    template <class Content>
    std::vector<agent_effect> handle(Content content)
    {
        ++entropy;
        return agent.reduce(agent_event{now, entropy, std::move(content)});
    }

    std::vector<agent_effect> receive(link_id link, message content)
    {
        return handle(link_message_event{link, std::move(content)});
    }

    std::vector<agent_effect> advance(duration time)
    {
        now += time;
        return handle(tick_event{});
    }

    std::vector<agent_effect> connect(link_id link, std::uint64_t incarnation = entry_incarnation)
    {
        handle(link_accepted_event{link});
        hello_message hello;
        hello.sender = {"entry-a", incarnation};
        hello.failure_domain = "b";
        return receive(link, hello);
    }

    /// A configured agent with one entry on link 1.
    void configure_and_connect()
    {
        handle(configuration_event{make_configuration(1)});
        connect(1);
    }

    static submit_message make_submit(std::uint64_t sequence, std::uint32_t attempt = 1)
    {
        submit_message value;
        value.id = request_id{entry_incarnation, sequence};
        value.attempt = attempt;
        value.client_account = some_account;
        value.account_name = "township-plots";
        value.profile = "calendar";
        value.estimated_cost = 3.0;
        value.time_to_deadline = std::chrono::seconds{10};
        value.method = "POST";
        value.target = "/v1/generate";
        value.body = "{}";
        return value;
    }

    agent_options options;
    instant now{std::chrono::seconds{1000}};
    std::uint64_t entropy = 0;
    agent_reducer agent;
};

/// Returns the effects of one kind.
template <class Effect>
std::vector<Effect> effects_of(const std::vector<agent_effect>& effects)
{
    std::vector<Effect> found;
    for (const agent_effect& it : effects) {
        if (const auto* const effect = std::get_if<Effect>(&it)) {
            found.push_back(*effect);
        }
    }
    return found;
}

/// Returns the messages of one kind that are sent, on any link.
template <class Message>
std::vector<Message> sent(const std::vector<agent_effect>& effects)
{
    std::vector<Message> found;
    for (const send_effect& it : effects_of<send_effect>(effects)) {
        if (const auto* const value = std::get_if<Message>(&it.content)) {
            found.push_back(*value);
        }
    }
    return found;
}

/// Returns the number of the only call started. Precondition: exactly one was.
inline call_id started_call(const std::vector<agent_effect>& effects)
{
    return effects_of<start_call_effect>(effects).at(0).call;
}

} // namespace hemlocknotch::test
