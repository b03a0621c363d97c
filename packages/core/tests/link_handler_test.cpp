#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {
namespace {

struct linked_entry : entry_fixture {
    linked_entry()
    {
        configure({"agent-1"});
        greet(1, "agent-1");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_handler_test, linked_entry)

BOOST_AUTO_TEST_CASE(replaces_an_unresponsive_link_and_resolves_on_the_new_one)
{
    on_message(1, free_slots_message{.free_slots = 1});
    call(5, "transfer");
    const request_id id = sent<submit_message>().at(0).id;
    pass(std::chrono::milliseconds{2500});
    BOOST_REQUIRE_EQUAL(all<open_link_effect>().size(), 1);
    BOOST_TEST(!sent<heartbeat_message>().empty());
    BOOST_TEST(all<close_link_effect>().empty());
    greet(2, "agent-1");
    BOOST_REQUIRE_EQUAL(all<close_link_effect>().size(), 1);
    BOOST_TEST(all<close_link_effect>().front().link == 1U);
    BOOST_REQUIRE_EQUAL(sent<resolve_message>().size(), 1);
    on_message(1, end_message{.id = id, .length = 0});
    BOOST_TEST(all<reply_end_effect>().empty());
}

BOOST_AUTO_TEST_CASE(closes_the_old_link_when_its_replacement_fails_after_it_opened)
{
    on_message(1, free_slots_message{.free_slots = 1});
    call(5, "transfer");
    pass(std::chrono::milliseconds{2500});
    on(link_opened_event{2, agent_member("agent-1").address});
    on(link_closed_event{2, "cut"});
    BOOST_REQUIRE_EQUAL(all<close_link_effect>().size(), 1);
    BOOST_TEST(all<close_link_effect>().front().link == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_a_link_open_while_the_agent_answers_heartbeats)
{
    for (int n = 0; n < 100; ++n) {
        pass(std::chrono::milliseconds{250});
        for (const heartbeat_message& it : sent<heartbeat_message>()) {
            on_message(1, heartbeat_message{it.sequence, true});
        }
        BOOST_TEST(all<open_link_effect>().empty());
    }
}

BOOST_AUTO_TEST_CASE(refuses_a_peer_with_another_name)
{
    set_members({"agent-1", "agent-2"});
    BOOST_REQUIRE_EQUAL(all<open_link_effect>().size(), 1);
    on(link_opened_event{2, agent_member("agent-2").address});
    hello_message hello;
    hello.role = process_role::agent;
    hello.sender = {"agent-9", 1};
    on_message(2, hello);
    BOOST_TEST(all<close_link_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(sends_no_work_to_agents_out_of_service)
{
    auto changed = make_configuration(2);
    changed->out.instances.insert("agent-1");
    on_message(1, free_slots_message{.free_slots = 1});
    on(configuration_event{changed});
    call(5, "draft");
    BOOST_TEST(sent<submit_message>().empty());
    on_message(1, grant_message{3, account_key::of("north"), std::chrono::seconds{1}, {}});
    BOOST_TEST(sent<decline_message>().size() == 1U);
    on(configuration_event{make_configuration(3)});
    on_message(1, free_slots_message{.free_slots = 1});
    BOOST_TEST(sent<submit_message>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(closes_links_to_removed_agents_once_nothing_is_outstanding)
{
    on_message(1, free_slots_message{.free_slots = 2});
    call(5, "draft");
    const request_id id = sent<submit_message>().at(0).id;
    set_members({});
    BOOST_TEST(all<close_link_effect>().empty());
    call(6, "draft");
    BOOST_TEST(sent<submit_message>().empty());
    on_message(1, refuse_message{.id = id});
    pass(std::chrono::milliseconds{300});
    BOOST_TEST(all<close_link_effect>().size() == 1U);
}

// Guards against a request waiting for the rest of the demand interval while the agent is idle, because
// another request was reported shortly before.
BOOST_AUTO_TEST_CASE(demand_that_the_agent_counts_as_used_up_is_reported_before_the_demand_interval_ends)
{
    pass(std::chrono::milliseconds{20});
    call(5, "draft");
    BOOST_TEST(sent<demand_message>().size() == 1U);
    const auto north = account_key::of("north");
    on_message(1, grant_message{.grant = 1,
                                .client_account = north,
                                .time_to_live = std::chrono::seconds{1},
                                .cached_prefixes = {}});
    BOOST_TEST(sent<submit_message>().size() == 1U);
    pass(std::chrono::milliseconds{2});
    call(6, "draft");
    BOOST_TEST(sent<demand_message>().size() == 1U);
}

// The entry has no link to agent-3, so totals would be incomplete and it relays each incarnation's report
// instead.
BOOST_AUTO_TEST_CASE(relays_service_reports_to_other_agents)
{
    set_members({"agent-1", "agent-2", "agent-3"});
    greet(2, "agent-2");
    const auto service = account_key::of("model");
    const service_source source{{"agent-1", 1}, {{account_key::of("north"), 1, 5.0}}};
    on_message(1, service_report_message{service, {source}, {}});
    pass(std::chrono::seconds{1});
    const auto reports = sent<service_report_message>();
    BOOST_REQUIRE_EQUAL(reports.size(), 1);
    BOOST_TEST((reports.front().sources.front() == source));
    on(link_closed_event{2, "cut"});
    pass(std::chrono::milliseconds{200});
    greet(4, "agent-2");
    BOOST_TEST(sent<service_report_message>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
