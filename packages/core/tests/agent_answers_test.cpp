#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;
using namespace hemlocknotch::test;

namespace {

const request_id first_id{entry_incarnation, 1};

/// An agent with request 1 running, of whose answer "abcd" has come and been sent on link 1.
struct running_fixture : agent_fixture {
    explicit running_fixture(bool is_idempotent = false) : agent_fixture{4}
    {
        configure_and_connect();
        submit_message value = make_submit(1);
        value.is_idempotent = is_idempotent;
        call = started_call(receive(1, value));
        handle(endpoint_head_event{call, 200, {}, 0});
        handle(endpoint_part_event{call, "abcd"});
    }

    call_id call = 0;
};

dispatch_state resolve(agent_fixture& it, link_id link, const request_id& id, std::uint32_t attempt = 1)
{
    return sent<resolved_message>(it.receive(link, resolve_message{id, attempt, 0})).at(0).state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_answers_test)

BOOST_AUTO_TEST_CASE(answer_goes_on_from_the_offset_on_a_new_link)
{
    running_fixture it;
    it.handle(link_closed_event{1, "cut"});
    it.handle(endpoint_part_event{it.call, "ef"});
    it.connect(2);
    const auto effects = it.receive(2, resolve_message{first_id, 1, 2});
    BOOST_TEST((sent<resolved_message>(effects).at(0).state == dispatch_state::running));
    BOOST_TEST(sent<head_message>(effects).size() == 1U);
    BOOST_TEST(sent<part_message>(effects).at(0).offset == 2U);
    BOOST_TEST(sent<part_message>(effects).at(0).bytes == "cdef");
    const auto end = it.handle(endpoint_end_event{it.call, call_outcome::complete});
    BOOST_TEST(sent<end_message>(end).at(0).length == 6U);
}

BOOST_AUTO_TEST_CASE(ended_answer_is_kept_for_an_entry_that_comes_back)
{
    running_fixture it;
    it.handle(link_closed_event{1, "cut"});
    it.handle(endpoint_end_event{it.call, call_outcome::complete});
    it.connect(2);
    const auto effects = it.receive(2, resolve_message{first_id, 1, 4});
    BOOST_TEST((sent<resolved_message>(effects).at(0).state == dispatch_state::ended));
    BOOST_TEST(sent<part_message>(effects).empty());
    BOOST_TEST(sent<end_message>(effects).at(0).length == 4U);
}

BOOST_AUTO_TEST_CASE(answer_kept_for_too_long_is_forgotten_and_may_have_run)
{
    running_fixture it;
    it.handle(link_closed_event{1, "cut"});
    it.handle(endpoint_end_event{it.call, call_outcome::complete});
    it.advance(it.options.answer_retention + it.options.heartbeat_interval);
    BOOST_TEST(it.agent.state().ended() == 0U);
    it.connect(2);
    BOOST_TEST((resolve(it, 2, first_id) == dispatch_state::forgotten));
}

BOOST_AUTO_TEST_CASE(dispatch_resolved_as_never_seen_does_not_run_when_it_comes_late)
{
    agent_fixture it;
    it.configure_and_connect();
    it.connect(2);
    BOOST_TEST((resolve(it, 2, first_id) == dispatch_state::never_seen));
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, agent_fixture::make_submit(1))).empty());
    BOOST_TEST(effects_of<start_call_effect>(it.receive(2, agent_fixture::make_submit(1))).empty());
    BOOST_TEST((resolve(it, 2, first_id) == dispatch_state::never_seen));
}

BOOST_AUTO_TEST_CASE(later_dispatch_that_never_came_is_told_apart_from_the_one_that_runs)
{
    running_fixture it;
    BOOST_TEST((resolve(it, 1, first_id, 2) == dispatch_state::never_seen));
    BOOST_TEST((resolve(it, 1, first_id, 1) == dispatch_state::running));
}

BOOST_AUTO_TEST_CASE(idempotent_request_is_stopped_when_its_entry_stays_away)
{
    running_fixture it{true};
    it.handle(link_closed_event{1, "cut"});
    for (int n = 0; n < 7; ++n) {
        it.handle(endpoint_part_event{it.call, "x"});
        BOOST_TEST(effects_of<stop_call_effect>(it.advance(it.options.answer_retention / 8)).empty());
    }
    it.handle(endpoint_part_event{it.call, "x"});
    const auto effects = it.advance(it.options.answer_retention / 8);
    BOOST_TEST(effects_of<stop_call_effect>(effects).at(0).is_cancel);
    BOOST_TEST(it.agent.state().running() == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_runs_to_its_end_without_its_entry)
{
    running_fixture it;
    it.handle(link_closed_event{1, "cut"});
    for (int n = 0; n < 10; ++n) {
        it.handle(endpoint_part_event{it.call, "x"});
        BOOST_TEST(effects_of<stop_call_effect>(it.advance(it.options.answer_retention / 8)).empty());
    }
    BOOST_TEST(it.agent.state().running() == 1U);
}

BOOST_AUTO_TEST_CASE(acknowledgement_of_another_attempt_or_link_changes_nothing)
{
    running_fixture it;
    it.handle(endpoint_end_event{it.call, call_outcome::complete});
    it.receive(1, ack_message{first_id, 2, 4, true});
    BOOST_TEST(it.agent.state().ended() == 1U);
    it.connect(2, entry_incarnation + 1);
    it.receive(2, ack_message{first_id, 1, 4, true});
    BOOST_TEST(it.agent.state().ended() == 1U);
    it.receive(1, ack_message{first_id, 1, 4, true});
    BOOST_TEST(it.agent.state().ended() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
