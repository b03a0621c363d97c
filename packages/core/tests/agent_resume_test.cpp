#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::test {

BOOST_FIXTURE_TEST_SUITE(agent_resume_test, agent_fixture)

BOOST_AUTO_TEST_CASE(an_unknown_stream_is_no_answer)
{
    configure_and_connect();
    submit_message request = make_submit(1, 2);
    request.is_idempotent = true;
    request.is_resumable = true;
    request.offset = 10;
    const call_id call = started_call(receive(1, request));
    const auto effects = handle(endpoint_head_event{call, 404, {}, 1});
    BOOST_TEST(sent<head_message>(effects).empty());
    BOOST_REQUIRE_EQUAL(sent<end_message>(effects).size(), 1);
    BOOST_TEST((sent<end_message>(effects).front().outcome == verdict::may_have_run));
}

BOOST_AUTO_TEST_CASE(a_known_stream_goes_on)
{
    configure_and_connect();
    submit_message request = make_submit(1, 2);
    request.is_idempotent = true;
    request.is_resumable = true;
    request.offset = 10;
    const call_id call = started_call(receive(1, request));
    BOOST_TEST(sent<head_message>(handle(endpoint_head_event{call, 200, {}, 1})).size() == 1U);
    const auto parts = sent<part_message>(handle(endpoint_part_event{call, "ab"}));
    BOOST_REQUIRE_EQUAL(parts.size(), 1);
    BOOST_TEST(parts.front().offset == 10U);
}

// Answers that had begun were refused again and again by a busy agent until their time was up, and were cut.
BOOST_AUTO_TEST_CASE(an_answer_that_has_begun_waits_for_a_place_instead_of_being_refused)
{
    configure_and_connect();
    const call_id first = started_call(receive(1, make_submit(1)));
    started_call(receive(1, make_submit(2)));
    BOOST_TEST(sent<refuse_message>(receive(1, make_submit(3))).size() == 1U);
    submit_message resumed = make_submit(4, 2);
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

BOOST_AUTO_TEST_CASE(no_more_answers_wait_for_a_place_than_may_run)
{
    configure_and_connect();
    for (std::uint64_t n = 1; n <= 2; ++n) {
        receive(1, make_submit(n));
    }
    std::size_t refused = 0;
    for (std::uint64_t n = 3; n <= 6; ++n) {
        submit_message resumed = make_submit(n, 2);
        resumed.is_idempotent = true;
        resumed.is_resumable = true;
        resumed.offset = 10;
        refused += sent<refuse_message>(receive(1, resumed)).size();
    }
    BOOST_TEST(refused == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::test
