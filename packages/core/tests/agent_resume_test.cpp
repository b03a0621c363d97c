#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::test {

BOOST_FIXTURE_TEST_SUITE(agent_resume_test, agent_fixture)

BOOST_AUTO_TEST_CASE(an_unknown_stream_is_no_answer)
{
    make_ready();
    submit_message request = make_submit(1, 2);
    request.is_idempotent = true;
    request.is_resumable = true;
    request.offset = 10;
    const call_id call = started_call(tell(1, request));
    const auto effects = give(endpoint_head_event{call, 404, {}, 1});
    BOOST_TEST(sent<head_message>(effects).empty());
    BOOST_REQUIRE_EQUAL(sent<end_message>(effects).size(), 1);
    BOOST_TEST((sent<end_message>(effects).front().outcome == verdict::may_have_run));
}

BOOST_AUTO_TEST_CASE(a_known_stream_goes_on)
{
    make_ready();
    submit_message request = make_submit(1, 2);
    request.is_idempotent = true;
    request.is_resumable = true;
    request.offset = 10;
    const call_id call = started_call(tell(1, request));
    BOOST_TEST(sent<head_message>(give(endpoint_head_event{call, 200, {}, 1})).size() == 1U);
    const auto parts = sent<part_message>(give(endpoint_part_event{call, "ab"}));
    BOOST_REQUIRE_EQUAL(parts.size(), 1);
    BOOST_TEST(parts.front().offset == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::test
