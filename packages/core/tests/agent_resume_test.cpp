#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::test {

BOOST_FIXTURE_TEST_SUITE(agent_resume_test, agent_fixture)

BOOST_AUTO_TEST_CASE(resume_of_a_stream_unknown_to_the_endpoint_ends_with_may_have_run)
{
    configure_and_connect();
    submit_message request = create_submit(1, 2);
    request.is_idempotent = true;
    request.is_resumable = true;
    request.offset = 10;
    const call_id call = started_call(receive(1, request));
    const auto effects = handle(endpoint_head_event{call, 404, {}, 1});
    BOOST_TEST(sent<head_message>(effects).empty());
    BOOST_REQUIRE_EQUAL(sent<end_message>(effects).size(), 1);
    BOOST_TEST((sent<end_message>(effects).front().outcome == verdict::may_have_run));
}

// Guards against a cut answer that looked complete: its resumption was answered with status 204.
BOOST_AUTO_TEST_CASE(resume_that_is_answered_with_another_status_ends_with_may_have_run)
{
    configure_and_connect();
    std::uint64_t n = 0;
    for (const std::uint32_t status : {201U, 204U, 206U, 301U, 400U, 404U, 429U, 500U, 503U, 504U}) {
        submit_message request = create_submit(++n, 2);
        request.is_idempotent = true;
        request.is_resumable = true;
        request.offset = 10;
        const call_id call = started_call(receive(1, request));
        const auto effects = handle(endpoint_head_event{call, status, {}, 1});
        BOOST_TEST(sent<head_message>(effects).empty());
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST(effects_of<stop_call_effect>(effects).size() == 1U);
            BOOST_REQUIRE_EQUAL(sent<end_message>(effects).size(), 1);
            BOOST_TEST((sent<end_message>(effects).front().outcome == verdict::may_have_run));
        }
        BOOST_TEST(sent<part_message>(handle(endpoint_part_event{call, "failed"})).empty());
        BOOST_TEST(sent<end_message>(handle(endpoint_end_event{call, call_outcome::complete})).empty());
        receive(1, ack_message{.id = request.id, .attempt = 2, .offset = 10, .is_final = true});
    }
}

BOOST_AUTO_TEST_CASE(resume_of_a_known_stream_continues_at_its_offset)
{
    configure_and_connect();
    submit_message request = create_submit(1, 2);
    request.is_idempotent = true;
    request.is_resumable = true;
    request.offset = 10;
    const call_id call = started_call(receive(1, request));
    BOOST_TEST(sent<head_message>(handle(endpoint_head_event{call, 200, {}, 1})).size() == 1U);
    const auto parts = sent<part_message>(handle(endpoint_part_event{call, "ab"}));
    BOOST_REQUIRE_EQUAL(parts.size(), 1);
    BOOST_TEST(parts.front().offset == 10U);
}

// Guards against cut answers: a busy agent refused requests that resumed an answer, repeatedly, until their
// deadlines passed.
BOOST_AUTO_TEST_CASE(resumed_answer_waits_for_a_slot_instead_of_being_refused)
{
    configure_and_connect();
    const call_id first = started_call(receive(1, create_submit(1)));
    started_call(receive(1, create_submit(2)));
    BOOST_TEST(sent<refuse_message>(receive(1, create_submit(3))).size() == 1U);
    submit_message resumed = create_submit(4, 2);
    resumed.is_idempotent = true;
    resumed.is_resumable = true;
    resumed.offset = 10;
    const auto effects = receive(1, resumed);
    BOOST_TEST(sent<refuse_message>(effects).empty());
    BOOST_TEST(effects_of<start_call_effect>(effects).empty());
    const auto started =
        effects_of<start_call_effect>(handle(endpoint_end_event{first, call_outcome::complete}));
    BOOST_REQUIRE_EQUAL(started.size(), 1);
    BOOST_TEST((started.front().id == resumed.id));
    BOOST_TEST(started.front().offset == 10U);
}

BOOST_AUTO_TEST_CASE(resumed_answers_are_refused_when_as_many_wait_as_may_run)
{
    configure_and_connect();
    for (std::uint64_t n = 1; n <= 2; ++n) {
        receive(1, create_submit(n));
    }
    std::size_t refused = 0;
    for (std::uint64_t n = 3; n <= 6; ++n) {
        submit_message resumed = create_submit(n, 2);
        resumed.is_idempotent = true;
        resumed.is_resumable = true;
        resumed.offset = 10;
        refused += sent<refuse_message>(receive(1, resumed)).size();
    }
    BOOST_TEST(refused == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::test
