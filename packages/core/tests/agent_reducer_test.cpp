#include <hemlocknotch/core/agent_reducer.hpp>

#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;
using namespace hemlocknotch::test;

BOOST_AUTO_TEST_SUITE(agent_reducer_test)

BOOST_AUTO_TEST_CASE(answer_goes_from_the_endpoint_to_the_entry_whole)
{
    agent_fixture it;
    it.configure_and_connect();
    const auto started = it.receive(1, agent_fixture::make_submit(1));
    const call_id call = started_call(started);
    const auto head = sent<head_message>(it.handle(endpoint_head_event{call, 200, {{"A", "b"}}, 9}));
    BOOST_TEST(head.at(0).status == 200U);
    const auto part = sent<part_message>(it.handle(endpoint_part_event{call, "one\ntwo\n"}));
    BOOST_TEST(part.at(0).bytes == "one\ntwo\n");
    const auto end = sent<end_message>(it.handle(endpoint_end_event{call, call_outcome::complete}));
    BOOST_TEST((end.at(0).outcome == verdict::ran));
    BOOST_TEST(end.at(0).length == 8U);
    BOOST_TEST(end.at(0).cost == 2.0);
    BOOST_TEST(it.agent.state().ledger().counter(some_account, 1.0) == 2.0);
    it.receive(1, ack_message{head.at(0).id, 1, 8, true});
    BOOST_TEST(it.agent.state().ended() == 0U);
}

BOOST_AUTO_TEST_CASE(link_of_another_protocol_version_is_closed)
{
    agent_fixture it;
    it.handle(link_accepted_event{1});
    hello_message hello;
    hello.version = protocol_version + 1;
    BOOST_TEST(effects_of<close_link_effect>(it.receive(1, hello)).size() == 1U);
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, agent_fixture::make_submit(1))).empty());
}

BOOST_AUTO_TEST_CASE(no_more_run_than_the_limit)
{
    agent_fixture it{2};
    it.configure_and_connect();
    it.receive(1, agent_fixture::make_submit(1));
    it.receive(1, agent_fixture::make_submit(2));
    const auto third = it.receive(1, agent_fixture::make_submit(3));
    BOOST_TEST((sent<refuse_message>(third).at(0).code == refusal_code::no_room));
    BOOST_TEST(effects_of<start_call_effect>(third).empty());
}

BOOST_AUTO_TEST_CASE(without_configuration_nothing_runs)
{
    agent_fixture it;
    it.connect(1);
    const auto effects = it.receive(1, agent_fixture::make_submit(1));
    BOOST_TEST((sent<refuse_message>(effects).at(0).code == refusal_code::no_configuration));
}

BOOST_AUTO_TEST_CASE(passed_deadline_is_refused)
{
    agent_fixture it;
    it.configure_and_connect();
    submit_message value = agent_fixture::make_submit(1);
    value.time_to_deadline = duration::zero();
    BOOST_TEST((sent<refuse_message>(it.receive(1, value)).at(0).code == refusal_code::deadline_passed));
}

BOOST_AUTO_TEST_CASE(room_is_told_only_while_no_demand_is_known)
{
    agent_fixture it{3};
    it.handle(configuration_event{agent_fixture::make_configuration(1)});
    BOOST_TEST(sent<free_slots_message>(it.connect(1)).at(0).free_slots == 1U);
    const auto effects = it.receive(1, demand_message{1, true, {{some_account, 2, {}, 3.0}}});
    BOOST_TEST(sent<free_slots_message>(effects).at(0).free_slots == 0U);
    BOOST_TEST(sent<grant_message>(effects).size() == 1U);
    BOOST_TEST(sent<grant_message>(it.advance(std::chrono::milliseconds{25})).size() == 1U);
    const auto over = it.receive(1, demand_message{2, true, {}});
    BOOST_TEST(sent<free_slots_message>(over).at(0).free_slots == 1U);
}

BOOST_AUTO_TEST_CASE(room_of_all_entries_together_is_within_the_limit)
{
    agent_fixture it{3};
    it.configure_and_connect();
    std::uint32_t first = 3;
    std::uint32_t second = 0;
    for (const send_effect& effect : effects_of<send_effect>(it.connect(2, entry_incarnation + 1))) {
        if (const auto* const free_slots = std::get_if<free_slots_message>(&effect.content)) {
            (effect.link == 1 ? first : second) = free_slots->free_slots;
        }
    }
    BOOST_TEST(first + second <= 3U);
}

BOOST_AUTO_TEST_CASE(expired_grant_frees_its_place_and_its_late_request_does_not_run)
{
    agent_fixture it{1};
    it.configure_and_connect();
    const auto effects = it.receive(1, demand_message{1, true, {{some_account, 1, {}, 3.0}}});
    const grant_message grant = sent<grant_message>(effects).at(0);
    BOOST_TEST(it.agent.state().free_slots() == 0U);
    it.receive(1, demand_message{2, true, {}});
    it.advance(grant.time_to_live);
    BOOST_TEST(it.agent.state().free_slots() == 1U);
    BOOST_TEST(it.agent.state().ledger().counter(some_account, 1.0) == 0.0);
    submit_message late = agent_fixture::make_submit(1);
    late.grant = grant.grant;
    BOOST_TEST((sent<refuse_message>(it.receive(1, late)).at(0).code == refusal_code::grant_expired));
}

BOOST_AUTO_TEST_CASE(declined_grant_is_offered_again_only_after_a_while)
{
    agent_fixture it{1};
    it.configure_and_connect();
    const auto effects = it.receive(1, demand_message{1, true, {{some_account, 1, {}, 3.0}}});
    const std::uint64_t grant = sent<grant_message>(effects).at(0).grant;
    BOOST_TEST(sent<grant_message>(it.receive(1, decline_message{grant})).empty());
    BOOST_TEST(sent<grant_message>(it.advance(std::chrono::milliseconds{100})).size() == 1U);
}

BOOST_AUTO_TEST_CASE(window_holds_bytes_back_until_they_are_acknowledged)
{
    agent_options options = agent_fixture::make_options();
    options.send_window_bytes = 4;
    agent_fixture it{1, options};
    it.configure_and_connect();
    const call_id call = started_call(it.receive(1, agent_fixture::make_submit(1)));
    it.handle(endpoint_head_event{call, 200, {}, 0});
    BOOST_TEST(sent<part_message>(it.handle(endpoint_part_event{call, "abcdef"})).at(0).bytes == "abcd");
    BOOST_TEST(sent<end_message>(it.handle(endpoint_end_event{call, call_outcome::complete})).empty());
    const auto rest = it.receive(1, ack_message{request_id{entry_incarnation, 1}, 1, 4, false});
    BOOST_TEST(sent<part_message>(rest).at(0).bytes == "ef");
    BOOST_TEST(sent<end_message>(rest).size() == 1U);
}

BOOST_AUTO_TEST_CASE(too_long_an_answer_is_cut_and_may_have_run)
{
    agent_options options = agent_fixture::make_options();
    options.max_answer_bytes = 4;
    agent_fixture it{1, options};
    it.configure_and_connect();
    const call_id call = started_call(it.receive(1, agent_fixture::make_submit(1)));
    it.handle(endpoint_head_event{call, 200, {}, 0});
    const auto effects = it.handle(endpoint_part_event{call, "abcdef"});
    BOOST_TEST(effects_of<stop_call_effect>(effects).at(0).is_cancel);
    BOOST_TEST((sent<end_message>(effects).at(0).code == refusal_code::answer_too_large));
    BOOST_TEST((sent<end_message>(effects).at(0).outcome == verdict::may_have_run));
}

// A tick that came a moment early left nothing due and asked for no other: reports and heartbeats stopped.
BOOST_FIXTURE_TEST_CASE(a_tick_that_comes_early_is_followed_by_another, agent_fixture)
{
    configure_and_connect();
    const auto asked = effects_of<schedule_tick_effect>(advance(std::chrono::seconds{1}));
    BOOST_REQUIRE_EQUAL(asked.size(), 1);
    now = asked.front().at - duration{1};
    const auto again = effects_of<schedule_tick_effect>(handle(tick_event{}));
    BOOST_REQUIRE_EQUAL(again.size(), 1);
    BOOST_TEST((again.front().at == asked.front().at));
}

BOOST_AUTO_TEST_SUITE_END()
