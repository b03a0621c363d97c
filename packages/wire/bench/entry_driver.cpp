#include "entry_driver.hpp"

#include <cassert>
#include <variant>

namespace hemlocknotch::bench {
namespace {

constexpr std::size_t line_bytes = 31;

std::string account_name(std::size_t n)
{
    return "client-account-" + std::to_string(n);
}

std::string agent_name(std::size_t n)
{
    return "agent-" + std::to_string(n);
}

entry_options create_options()
{
    entry_options options;
    options.identity = {"entry", 1};
    options.failure_domain = "a";
    options.agents_per_service = 4096;
    options.max_waiting = std::size_t{1} << 20U;
    options.max_held_bytes = std::size_t{4} << 30U;
    return options;
}

configuration_ptr create_configuration(std::size_t account_count)
{
    auto created = std::make_shared<configuration>();
    created->revision = 1;
    created->services["model"] = {"model", account_key::of("model"), cost_unit::lines, 100.0};
    profile_definition profile;
    profile.name = "draft";
    profile.service = "model";
    profile.is_idempotent = true;
    profile.deadline = std::chrono::hours{1};
    profile.max_body_bytes = std::uint64_t{1} << 20U;
    profile.max_attempts = 3;
    created->profiles["draft"] = profile;
    for (std::size_t n = 0; n < account_count; ++n) {
        const std::string name = account_name(n);
        created->client_accounts[name] = {name, account_key::of(name), 1.0};
        created->weights[account_key::of(name)] = 1.0;
    }
    return created;
}

} // namespace

entry_driver::entry_driver(std::size_t account_count, std::size_t agent_count) : reducer_{create_options()}
{
    handle_event(configuration_event{create_configuration(account_count)});
    members_event members;
    for (std::size_t n = 0; n < agent_count; ++n) {
        members.members.push_back({agent_name(n), process_role::agent,
                                   *endpoint_address::parse("127.0.0.1:1"), "a", service,
                                   member_state::live});
    }
    for (const entry_effect& it : handle_event(members)) {
        if (const auto* const opened = std::get_if<open_link_effect>(&it)) {
            handle_event(link_opened_event{opened->link, opened->address});
            hello_message hello;
            hello.role = process_role::agent;
            hello.sender = {agent_name(opened->link - 1), 1};
            hello.failure_domain = "a";
            hello.service = service;
            hello.configuration_revision = 1;
            deliver(opened->link, hello);
        }
    }
}

void entry_driver::report_service(link_id link, std::size_t account_count)
{
    ++report_sequence_;
    service_source source{{agent_name(link - 1), 1}, {}};
    for (std::size_t n = 0; n < account_count; ++n) {
        source.items.push_back(
            {account_key::of(account_name(n)), report_sequence_, static_cast<double>(report_sequence_ + n)});
    }
    deliver(link, service_report_message{account_key::of(service), {std::move(source)}, {}});
}

submit_message entry_driver::request(std::size_t account, std::size_t body_bytes)
{
    caller_request_event event;
    event.exchange = ++last_exchange_;
    event.client_account = account_name(account);
    event.profile = "draft";
    event.method = "POST";
    event.target = "/v1/generate";
    event.headers = {{"Content-Type", "application/json"}};
    event.body = std::string(body_bytes, 'x');
    for (entry_effect& it : handle_event(std::move(event))) {
        if (auto* const sent = std::get_if<send_effect>(&it)) {
            if (auto* const submit = std::get_if<submit_message>(&sent->content)) {
                return std::move(*submit);
            }
        }
    }
    return {};
}

void entry_driver::answer(const submit_message& submitted, std::size_t parts)
{
    constexpr link_id link = 1;
    deliver(link,
            head_message{submitted.id, submitted.attempt, 200, {{"Content-Type", "application/x-ndjson"}}});
    std::uint64_t offset = 0;
    for (std::size_t n = 0; n < parts; ++n) {
        deliver(link, part_message{submitted.id, submitted.attempt, offset, std::string(line_bytes, 'x')});
        offset += line_bytes;
    }
    end_message end;
    end.id = submitted.id;
    end.attempt = submitted.attempt;
    end.length = offset;
    end.cost = static_cast<double>(parts);
    deliver(link, end);
    handle_event(caller_progress_event{last_exchange_, offset});
}

void entry_driver::advertise_slots(link_id link, std::uint32_t free_slots)
{
    deliver(link, free_slots_message{free_slots, false, 0, free_slots});
}

void entry_driver::deliver(link_id link, message content)
{
    handle_event(link_message_event{link, std::move(content)});
}

void entry_driver::advance(duration time)
{
    now_ += time;
    handle_event(tick_event{});
}

} // namespace hemlocknotch::bench
