#pragma once

#include <hemlocknotch/core/entry_reducer.hpp>
#include <hemlocknotch/core/entry_state.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// An entry driven by explicit events. The tests act as the agents.
class entry_fixture {
public:
    explicit entry_fixture(const entry_options& options = default_options()) : reducer_{options} {}

    static entry_options default_options()
    {
        entry_options options;
        options.identity = {"entry-a", 7};
        options.failure_domain = "a";
        return options;
    }

    static std::shared_ptr<configuration> make_configuration(std::uint64_t revision)
    {
        auto created = std::make_shared<configuration>();
        created->revision = revision;
        created->services["model"] = {"model", account_key::of("model"), cost_unit::lines, 10.0};
        add_profile(*created, "draft", true, urgency::prompt);
        add_profile(*created, "history", true, urgency::slow);
        add_profile(*created, "transfer", false, urgency::prompt);
        created->profiles["draft"].is_resumable = true;
        for (const std::string name : {"north", "south"}) {
            created->client_accounts[name] = {name, account_key::of(name), 1.0};
            created->weights[account_key::of(name)] = 1.0;
        }
        return created;
    }

    static member agent_member(const std::string& name)
    {
        return {
            name,    process_role::agent, endpoint_address::parse("127.0.0.1:" + port_of(name)).value(), "a",
            "model", member_state::live};
    }

    /// Passes one event to the entry and returns its effects.
    template <class Content>
    std::vector<entry_effect> on(Content content)
    {
        last_ = reducer_.reduce({now_, ++entropy_, std::move(content)});
        return last_;
    }

    /// Advances the time in steps with a tick after each; returns the effects of all ticks.
    std::vector<entry_effect> pass(duration time, duration step = std::chrono::milliseconds{5})
    {
        std::vector<entry_effect> all;
        for (const instant end = now_ + time; now_ < end;) {
            now_ += std::min<duration>(step, end - now_);
            for (auto& it : on(tick_event{})) {
                all.push_back(std::move(it));
            }
        }
        last_ = all;
        return all;
    }

    /// Puts a configuration in force and sends an instance list with the agents.
    void configure(const std::vector<std::string>& agents)
    {
        on(configuration_event{make_configuration(1)});
        set_members(agents);
    }

    void set_members(const std::vector<std::string>& agents)
    {
        members_event event;
        for (const std::string& it : agents) {
            event.members.push_back(agent_member(it));
        }
        on(std::move(event));
    }

    /// Acts as the agent when `link` opens: reports it as opened and sends the agent's hello.
    std::vector<entry_effect> greet(link_id link, const std::string& agent, std::uint64_t incarnation = 1)
    {
        on(link_opened_event{link, agent_member(agent).address});
        hello_message hello;
        hello.role = process_role::agent;
        hello.sender = {agent, incarnation};
        hello.failure_domain = "a";
        hello.service = "model";
        hello.configuration_revision = 1;
        return on_message(link, hello);
    }

    template <class Message>
    std::vector<entry_effect> on_message(link_id link, Message content)
    {
        return on(link_message_event{link, std::move(content)});
    }

    /// Sends a caller's request.
    std::vector<entry_effect> call(exchange_id exchange, const std::string& profile,
                                   const std::string& client_account = "north")
    {
        return on(request_of(exchange, profile, client_account));
    }

    static caller_request_event request_of(exchange_id exchange, const std::string& profile,
                                           const std::string& client_account = "north")
    {
        caller_request_event request;
        request.exchange = exchange;
        request.client_account = client_account;
        request.profile = profile;
        request.method = "POST";
        request.target = "/work";
        request.body = "body";
        return request;
    }

    /// Returns those of the last effects that have the type `Effect`.
    template <class Effect>
    [[nodiscard]] std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const entry_effect& it : last_) {
            if (const auto* const match = std::get_if<Effect>(&it)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /// Returns the messages of type `Message` among the last effects.
    template <class Message>
    [[nodiscard]] std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const send_effect& it : all<send_effect>()) {
            if (const auto* const match = std::get_if<Message>(&it.content)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    [[nodiscard]] instant now() const { return now_; }

    [[nodiscard]] entry_status status() const { return reducer_.state().status(); }

private:
    static void add_profile(configuration& to, const std::string& name, bool is_idempotent, urgency value)
    {
        profile_definition& it = to.profiles[name];
        it.name = name;
        it.service = "model";
        it.is_idempotent = is_idempotent;
        it.work_urgency = value;
        it.deadline = std::chrono::seconds{10};
        it.max_body_bytes = 100;
        it.max_attempts = is_idempotent ? 3 : 1;
    }

    static std::string port_of(const std::string& name)
    {
        return std::to_string(1000 + static_cast<unsigned char>(name.back()));
    }

    instant now_{std::chrono::seconds{1000}};
    std::uint64_t entropy_ = 0;
    entry_reducer reducer_;
    std::vector<entry_effect> last_;
};

} // namespace hemlocknotch
