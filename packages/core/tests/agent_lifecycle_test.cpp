#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;
using namespace hemlocknotch::test;

namespace {

configuration_ptr configuration_with_domain_out_of_service(std::uint64_t revision, const std::string& domain)
{
    auto value = std::make_shared<configuration>(*agent_fixture::create_configuration(revision));
    value->out.failure_domains.insert(domain);
    return value;
}

members_event self_in_state(member_state state)
{
    return {
        {{"agent-a", process_role::agent, *endpoint_address::parse("127.0.0.1:1"), "a", "gardener", state}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_lifecycle_test)

BOOST_AUTO_TEST_CASE(agent_of_a_domain_out_of_service_refuses_new_requests_and_finishes_accepted_ones)
{
    agent_fixture it;
    it.configure_and_connect();
    const call_id call = started_call(it.receive(1, agent_fixture::create_submit(1)));
    const auto effects = it.handle(configuration_event{configuration_with_domain_out_of_service(2, "a")});
    BOOST_TEST(sent<free_slots_message>(effects).at(0).is_draining);
    BOOST_TEST(!effects_of<readiness_effect>(effects).at(0).is_ready);
    const auto refused = it.receive(1, agent_fixture::create_submit(2));
    BOOST_TEST((sent<refuse_message>(refused).at(0).code == refusal_code::out_of_service));
    const auto after_demand = it.receive(1, demand_message{1, true, {{some_account, 1, {}, 3.0}}});
    BOOST_TEST(sent<grant_message>(after_demand).empty());
    it.handle(endpoint_head_event{call, 200, {}, 0});
    const auto end = it.handle(endpoint_end_event{call, call_outcome::complete});
    BOOST_TEST((sent<end_message>(end).at(0).outcome == verdict::ran));
    const auto back = it.handle(configuration_event{agent_fixture::create_configuration(3)});
    BOOST_TEST(sent<grant_message>(back).size() == 1U);
}

BOOST_AUTO_TEST_CASE(configuration_of_a_lower_revision_is_ignored)
{
    agent_fixture it;
    it.configure_and_connect();
    it.handle(configuration_event{configuration_with_domain_out_of_service(5, "a")});
    it.handle(configuration_event{agent_fixture::create_configuration(4)});
    BOOST_TEST(it.agent.state().revision() == 5U);
    BOOST_TEST(!it.agent.state().is_ready());
}

BOOST_AUTO_TEST_CASE(graceful_stop_ends_after_the_last_answer_was_acknowledged)
{
    agent_fixture it;
    it.configure_and_connect();
    const call_id call = started_call(it.receive(1, agent_fixture::create_submit(1)));
    BOOST_TEST(effects_of<stopped_effect>(it.handle(stop_event{false})).empty());
    it.handle(endpoint_head_event{call, 200, {}, 0});
    BOOST_TEST(
        effects_of<stopped_effect>(it.handle(endpoint_end_event{call, call_outcome::complete})).empty());
    const auto last = it.receive(1, ack_message{request_id{entry_incarnation, 1}, 1, 0, true});
    BOOST_TEST(effects_of<stopped_effect>(last).size() == 1U);
    BOOST_TEST(effects_of<stopped_effect>(it.advance(std::chrono::seconds{1})).empty());
}

BOOST_AUTO_TEST_CASE(immediate_stop_ends_running_requests_with_may_have_run)
{
    agent_fixture it;
    it.configure_and_connect();
    it.receive(1, agent_fixture::create_submit(1));
    const auto effects = it.handle(stop_event{true});
    BOOST_TEST((sent<end_message>(effects).at(0).outcome == verdict::may_have_run));
    BOOST_TEST(effects_of<stopped_effect>(effects).size() == 1U);
}

BOOST_AUTO_TEST_CASE(graceful_stop_ends_at_the_stop_limit_even_if_a_dispatch_is_running)
{
    agent_fixture it;
    it.configure_and_connect();
    const call_id call = started_call(it.receive(1, agent_fixture::create_submit(1)));
    it.handle(endpoint_head_event{call, 200, {}, 0});
    it.handle(stop_event{false});
    it.now += it.options.stop_limit;
    BOOST_TEST(effects_of<stopped_effect>(it.handle(endpoint_part_event{call, "x"})).size() == 1U);
}

BOOST_AUTO_TEST_CASE(leaving_instance_refuses_new_requests_and_stops)
{
    agent_fixture it;
    it.configure_and_connect();
    const auto effects = it.handle(self_in_state(member_state::leaving));
    BOOST_TEST(effects_of<stopped_effect>(effects).size() == 1U);
    const auto refused = it.receive(1, agent_fixture::create_submit(1));
    BOOST_TEST((sent<refuse_message>(refused).at(0).code == refusal_code::shutting_down));
}

BOOST_AUTO_TEST_CASE(agent_out_of_reach_is_not_ready_until_it_reaches_the_key_value_service)
{
    agent_fixture it;
    it.configure_and_connect();
    it.advance(it.options.out_of_reach_limit + duration{1});
    BOOST_TEST(!it.agent.state().is_ready());
    it.handle(store_contact_event{true});
    BOOST_TEST(it.agent.state().is_ready());
}

BOOST_AUTO_TEST_SUITE_END()
