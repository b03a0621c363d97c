#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;
using namespace hemlocknotch::test;

BOOST_AUTO_TEST_SUITE(agent_submits_test)

BOOST_AUTO_TEST_CASE(duplicate_of_a_dispatch_does_not_run_again)
{
    agent_fixture it{4};
    it.configure_and_connect();
    const submit_message value = agent_fixture::create_submit(1);
    const call_id call = started_call(it.receive(1, value));
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, value)).empty());
    it.handle(endpoint_head_event{call, 200, {}, 0});
    it.handle(endpoint_end_event{call, call_outcome::complete});
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, value)).empty());
    it.receive(1, ack_message{value.id, 1, 0, true});
    const auto late = it.receive(1, value);
    BOOST_TEST(effects_of<start_call_effect>(late).empty());
    BOOST_TEST(sent<refuse_message>(late).empty());
}

BOOST_AUTO_TEST_CASE(duplicate_of_a_refused_dispatch_is_refused_although_a_slot_is_free)
{
    agent_fixture it{1};
    it.configure_and_connect();
    const call_id call = started_call(it.receive(1, agent_fixture::create_submit(1)));
    const submit_message refused = agent_fixture::create_submit(2);
    BOOST_TEST(sent<refuse_message>(it.receive(1, refused)).size() == 1U);
    it.handle(endpoint_head_event{call, 200, {}, 0});
    it.handle(endpoint_end_event{call, call_outcome::complete});
    BOOST_TEST(it.agent.state().free_slots() == 1U);
    const auto duplicate = it.receive(1, refused);
    BOOST_TEST(effects_of<start_call_effect>(duplicate).empty());
    BOOST_TEST(sent<refuse_message>(duplicate).size() == 1U);
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, agent_fixture::create_submit(2, 2))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(non_idempotent_request_does_not_run_in_a_second_dispatch)
{
    agent_fixture it{4};
    it.configure_and_connect();
    const submit_message value = agent_fixture::create_submit(1);
    it.receive(1, value);
    const auto effects = it.receive(1, agent_fixture::create_submit(1, 2));
    BOOST_TEST(effects_of<start_call_effect>(effects).empty());
    BOOST_TEST((sent<end_message>(effects).at(0).outcome == verdict::may_have_run));
}

BOOST_AUTO_TEST_CASE(idempotent_request_runs_again_in_a_second_dispatch_and_the_first_is_stopped)
{
    agent_fixture it{4};
    it.configure_and_connect();
    submit_message value = agent_fixture::create_submit(1);
    value.is_idempotent = true;
    it.receive(1, value);
    value.attempt = 2;
    const auto effects = it.receive(1, value);
    BOOST_TEST(effects_of<stop_call_effect>(effects).size() == 1U);
    BOOST_TEST(effects_of<start_call_effect>(effects).size() == 1U);
    BOOST_TEST(it.agent.state().running() == 1U);
}

BOOST_AUTO_TEST_CASE(dispatch_that_arrives_after_its_cancel_does_not_run)
{
    agent_fixture it;
    it.configure_and_connect();
    const submit_message value = agent_fixture::create_submit(1);
    it.receive(1, cancel_message{value.id, 1});
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, value)).empty());
}

BOOST_AUTO_TEST_CASE(cancel_stops_an_idempotent_request_and_lets_a_non_idempotent_one_finish)
{
    agent_fixture it;
    it.configure_and_connect();
    submit_message idempotent = agent_fixture::create_submit(1);
    idempotent.is_idempotent = true;
    it.receive(1, idempotent);
    it.receive(1, agent_fixture::create_submit(2));
    BOOST_TEST(effects_of<stop_call_effect>(it.receive(1, cancel_message{idempotent.id, 1})).at(0).is_cancel);
    const request_id other{entry_incarnation, 2};
    BOOST_TEST(effects_of<stop_call_effect>(it.receive(1, cancel_message{other, 1})).empty());
    BOOST_TEST(it.agent.state().running() == 1U);
}

BOOST_AUTO_TEST_CASE(request_on_a_superseded_link_does_not_run)
{
    agent_fixture it{4};
    it.configure_and_connect();
    it.connect(2);
    const auto effects = it.receive(1, agent_fixture::create_submit(1));
    BOOST_TEST(effects_of<start_call_effect>(effects).empty());
    BOOST_TEST(sent<refuse_message>(effects).size() == 1U);
}

BOOST_AUTO_TEST_CASE(request_of_another_entry_incarnation_closes_the_link)
{
    agent_fixture it;
    it.configure_and_connect();
    submit_message value = agent_fixture::create_submit(1);
    value.id = request_id{entry_incarnation + 1, 1};
    const auto effects = it.receive(1, value);
    BOOST_TEST(effects_of<close_link_effect>(effects).size() == 1U);
    BOOST_TEST(effects_of<start_call_effect>(effects).empty());
}

BOOST_AUTO_TEST_CASE(duplicate_does_not_run_after_its_tombstone_was_dropped)
{
    agent_options options = agent_fixture::create_options();
    options.max_tombstones = 2;
    agent_fixture it{1, options};
    it.configure_and_connect();
    const submit_message first = agent_fixture::create_submit(1);
    const call_id call = started_call(it.receive(1, first));
    it.handle(endpoint_head_event{call, 200, {}, 0});
    it.handle(endpoint_end_event{call, call_outcome::complete});
    it.receive(1, ack_message{first.id, 1, 0, true});
    for (std::uint64_t n = 2; n <= 5; ++n) {
        it.receive(1, cancel_message{request_id{entry_incarnation, n}, 1});
    }
    const auto duplicate = it.receive(1, first);
    BOOST_TEST(effects_of<start_call_effect>(duplicate).empty());
    BOOST_TEST((sent<end_message>(duplicate).at(0).outcome == verdict::may_have_run));
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, agent_fixture::create_submit(6))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancel_after_the_tombstone_was_dropped_gets_verdict_may_have_run)
{
    agent_options options = agent_fixture::create_options();
    options.max_tombstones = 1;
    agent_fixture it{1, options};
    it.configure_and_connect();
    const submit_message first = agent_fixture::create_submit(1);
    const call_id call = started_call(it.receive(1, first));
    it.handle(endpoint_head_event{call, 200, {}, 0});
    it.handle(endpoint_end_event{call, call_outcome::complete});
    it.receive(1, ack_message{first.id, 1, 0, true});
    it.receive(1, cancel_message{request_id{entry_incarnation, 2}, 1});
    const auto effects = it.receive(1, cancel_message{first.id, 1});
    BOOST_TEST(sent<refuse_message>(effects).empty());
    BOOST_TEST((sent<end_message>(effects).at(0).outcome == verdict::may_have_run));
}

BOOST_AUTO_TEST_CASE(waiting_request_is_refused_when_its_deadline_passes)
{
    agent_options options = agent_fixture::create_options();
    options.grants_ahead = 1;
    agent_fixture it{1, options};
    it.configure_and_connect();
    it.receive(1, agent_fixture::create_submit(1));
    const auto offered = it.receive(1, demand_message{1, true, {{some_account, 1, {}, 3.0}}});
    submit_message ahead = agent_fixture::create_submit(2);
    ahead.grant = sent<grant_message>(offered).at(0).grant;
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, ahead)).empty());
    BOOST_TEST(it.agent.state().waiting() == 1U);
    const auto later = it.advance(ahead.time_to_deadline);
    BOOST_TEST((sent<refuse_message>(later).at(0).code == refusal_code::deadline_passed));
    BOOST_TEST(it.agent.state().waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
