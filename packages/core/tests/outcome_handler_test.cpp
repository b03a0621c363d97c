#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {
namespace {

/// An entry linked to one agent; `dispatch` sends it a request.
struct dispatched_request : entry_fixture {
    dispatched_request()
    {
        configure({"agent-1"});
        greet(1, "agent-1");
    }

    request_id dispatch(const std::string& profile)
    {
        on_message(1, free_slots_message{.free_slots = 1});
        call(5, profile);
        BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
        return sent<submit_message>().front().id;
    }

    /// Sends the caller the head and two bytes of an answer.
    request_id begin_answer()
    {
        const request_id id = dispatch("draft");
        on_message(1, head_message{.id = id, .status = 200, .headers = {}});
        on_message(1, part_message{.id = id, .offset = 0, .bytes = "ab"});
        return id;
    }

    /// Lets an answer that has begun break off and its resumption be dispatched.
    request_id begin_resumption()
    {
        const request_id id = begin_answer();
        on_message(1, free_slots_message{.free_slots = 1});
        on_message(1, end_message{.id = id, .outcome = verdict::may_have_run, .length = 2});
        pass(std::chrono::milliseconds{40});
        BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
        BOOST_TEST(sent<submit_message>().front().offset == 2U);
        return id;
    }

    /// Closes link 1 and opens link 2 to an agent with `incarnation`.
    void reconnect(std::uint64_t incarnation)
    {
        on(link_closed_event{1, "cut"});
        pass(std::chrono::milliseconds{200});
        BOOST_REQUIRE_EQUAL(all<open_link_effect>().size(), 1);
        greet(2, "agent-1", incarnation);
    }

    void require_refusal(refusal_code code, verdict outcome)
    {
        BOOST_REQUIRE_EQUAL(all<reply_refusal_effect>().size(), 1);
        const refusal reason = all<reply_refusal_effect>().front().reason;
        BOOST_TEST((reason.code == code));
        BOOST_TEST((reason.outcome == outcome));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(outcome_handler_test, dispatched_request)

BOOST_AUTO_TEST_CASE(resumes_from_the_offset_after_a_link_change)
{
    const request_id id = dispatch("transfer");
    on_message(1, head_message{.id = id, .status = 200, .headers = {}});
    on_message(1, part_message{.id = id, .offset = 0, .bytes = "abc"});
    reconnect(1);
    BOOST_REQUIRE_EQUAL(sent<resolve_message>().size(), 1);
    BOOST_TEST(sent<resolve_message>().front().offset == 3U);
    on_message(2, resolved_message{id, 1, dispatch_state::running});
    on_message(2, part_message{.id = id, .offset = 2, .bytes = "cd"});
    BOOST_TEST(all<reply_part_effect>().front().bytes == "d");
    on_message(2, end_message{.id = id, .length = 4});
    BOOST_TEST(all<reply_end_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(resubmits_a_request_that_the_agent_has_never_seen)
{
    const request_id id = dispatch("transfer");
    reconnect(1);
    on_message(2, free_slots_message{.free_slots = 1});
    on_message(2, resolved_message{id, 1, dispatch_state::never_seen});
    BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
    BOOST_TEST(sent<submit_message>().front().attempt == 2U);
    BOOST_TEST(sent<submit_message>().front().body == "body");
}

BOOST_AUTO_TEST_CASE(does_not_retry_non_idempotent_work_on_a_new_incarnation)
{
    dispatch("transfer");
    reconnect(2);
    require_refusal(refusal_code::unresolvable, verdict::may_have_run);
}

BOOST_AUTO_TEST_CASE(does_not_retry_non_idempotent_work_that_the_agent_has_forgotten)
{
    const request_id id = dispatch("transfer");
    reconnect(1);
    on_message(2, resolved_message{id, 1, dispatch_state::forgotten});
    require_refusal(refusal_code::unresolvable, verdict::may_have_run);
}

BOOST_AUTO_TEST_CASE(retries_idempotent_work)
{
    dispatch("draft");
    reconnect(2);
    BOOST_TEST(all<reply_refusal_effect>().empty());
    on_message(2, free_slots_message{.free_slots = 1});
    pass(std::chrono::milliseconds{40});
    BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
    BOOST_TEST(sent<submit_message>().front().attempt == 2U);
}

BOOST_AUTO_TEST_CASE(stops_retrying_at_the_maximum_number_of_attempts)
{
    const request_id id = dispatch("draft");
    for (std::uint32_t attempt = 1; attempt < 3; ++attempt) {
        on_message(1, end_message{.id = id, .attempt = attempt, .outcome = verdict::may_have_run});
        on_message(1, free_slots_message{.free_slots = 1});
        pass(std::chrono::milliseconds{100});
        BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
    }
    on_message(1, end_message{.id = id, .attempt = 3, .outcome = verdict::may_have_run});
    require_refusal(refusal_code::endpoint_failed, verdict::may_have_run);
}

BOOST_AUTO_TEST_CASE(gives_up_when_the_resolve_limit_has_passed)
{
    dispatch("transfer");
    on(link_closed_event{1, "cut"});
    pass(std::chrono::milliseconds{4990});
    BOOST_TEST(all<reply_refusal_effect>().empty());
    pass(std::chrono::milliseconds{10});
    require_refusal(refusal_code::unresolvable, verdict::may_have_run);
}

BOOST_AUTO_TEST_CASE(ignores_messages_of_another_dispatch)
{
    const request_id id = dispatch("draft");
    on_message(1, head_message{.id = id, .attempt = 2, .status = 200, .headers = {}});
    BOOST_TEST(all<reply_head_effect>().empty());
    on_message(1, end_message{.id = id, .attempt = 2, .length = 0});
    BOOST_TEST(all<reply_end_effect>().empty());
}

BOOST_AUTO_TEST_CASE(requests_missing_parts)
{
    const request_id id = dispatch("transfer");
    on_message(1, head_message{.id = id, .status = 200, .headers = {}});
    on_message(1, part_message{.id = id, .offset = 2, .bytes = "c"});
    BOOST_TEST(all<reply_part_effect>().empty());
    BOOST_TEST(sent<resolve_message>().size() == 1U);
    on_message(1, resolved_message{id, 1, dispatch_state::running});
    on_message(1, end_message{.id = id, .length = 3});
    BOOST_TEST(all<reply_end_effect>().empty());
    BOOST_TEST(sent<resolve_message>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_end_before_the_head_of_its_dispatch_is_ignored)
{
    const request_id id = dispatch("draft");
    on_message(1, head_message{.id = id, .status = 200, .headers = {}});
    on_message(1, part_message{.id = id, .offset = 0, .bytes = "ab"});
    on_message(1, end_message{.id = id, .outcome = verdict::may_have_run, .length = 2});
    pass(std::chrono::milliseconds{40});
    BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
    BOOST_TEST(sent<submit_message>().front().offset == 2U);
    on_message(1, end_message{.id = id, .attempt = 2, .length = 2});
    BOOST_TEST(all<reply_end_effect>().empty());
}

BOOST_AUTO_TEST_CASE(a_refusal_of_a_resumption_is_not_written_into_the_answer)
{
    const request_id id = begin_resumption();
    on_message(1, refuse_message{.id = id, .attempt = 2});
    BOOST_TEST(all<reply_refusal_effect>().empty());
    on(link_closed_event{1, "cut"});
    pass(std::chrono::seconds{10});
    BOOST_TEST(all<reply_refusal_effect>().empty());
    BOOST_TEST(all<reply_end_effect>().empty());
    BOOST_TEST(all<reply_abort_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(resumptions_that_fail_abort_the_answer)
{
    const request_id id = begin_resumption();
    on_message(1, end_message{.id = id, .attempt = 2, .outcome = verdict::may_have_run, .length = 2});
    on_message(1, free_slots_message{.free_slots = 1});
    pass(std::chrono::milliseconds{100});
    BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
    on_message(1, end_message{.id = id, .attempt = 3, .outcome = verdict::may_have_run, .length = 2});
    BOOST_TEST(all<reply_refusal_effect>().empty());
    BOOST_TEST(all<reply_end_effect>().empty());
    BOOST_TEST(all<reply_abort_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_resumption_in_another_media_type_is_not_written_into_the_answer)
{
    const request_id id = dispatch("draft");
    on_message(1,
               head_message{.id = id, .status = 200, .headers = {{"Content-Type", "application/x-ndjson"}}});
    on_message(1, part_message{.id = id, .offset = 0, .bytes = "ab"});
    for (const std::uint32_t attempt : {2U, 3U}) {
        on_message(1, free_slots_message{.free_slots = 1});
        on_message(1, end_message{.id = id, .attempt = 1, .outcome = verdict::may_have_run, .length = 2});
        pass(std::chrono::milliseconds{100});
        BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
        BOOST_TEST(sent<submit_message>().front().attempt == attempt);
        const auto type = std::string{attempt == 2 ? "text/plain" : "application/x-ndjson"};
        on_message(1, head_message{
                          .id = id, .attempt = attempt, .status = 200, .headers = {{"content-type", type}}});
    }
    on_message(1, part_message{.id = id, .attempt = 2, .offset = 2, .bytes = "failed"});
    BOOST_TEST(all<reply_part_effect>().empty());
    on_message(1, part_message{.id = id, .attempt = 3, .offset = 2, .bytes = "cd"});
    BOOST_REQUIRE_EQUAL(all<reply_part_effect>().size(), 1);
    BOOST_TEST(all<reply_part_effect>().front().bytes == "cd");
    on_message(1, end_message{.id = id, .attempt = 3, .length = 4});
    BOOST_TEST(all<reply_end_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_whose_resumption_has_no_agent_is_aborted)
{
    const request_id id = begin_answer();
    on_message(1, end_message{.id = id, .outcome = verdict::may_have_run, .length = 2});
    on(link_closed_event{1, "cut"});
    pass(std::chrono::seconds{10});
    BOOST_TEST(sent<submit_message>().empty());
    BOOST_TEST(all<reply_refusal_effect>().empty());
    BOOST_TEST(all<reply_end_effect>().empty());
    BOOST_TEST(all<reply_abort_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_status_is_not_written_into_one_without_bytes)
{
    const request_id id = dispatch("draft");
    on_message(1, head_message{.id = id, .status = 200, .headers = {}});
    on_message(1, free_slots_message{.free_slots = 1});
    on_message(1, end_message{.id = id, .outcome = verdict::may_have_run, .length = 0});
    pass(std::chrono::milliseconds{40});
    BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
    BOOST_TEST(sent<submit_message>().front().offset == 0U);
    on_message(1, head_message{.id = id, .attempt = 2, .status = 500, .headers = {}});
    on_message(1, part_message{.id = id, .attempt = 2, .offset = 0, .bytes = "failed"});
    on_message(1, end_message{.id = id, .attempt = 2, .length = 6});
    BOOST_TEST(all<reply_part_effect>().empty());
    BOOST_TEST(all<reply_end_effect>().empty());
    BOOST_TEST(all<reply_refusal_effect>().empty());
}

BOOST_AUTO_TEST_CASE(aborts_an_answer_longer_than_its_end_states)
{
    const request_id id = dispatch("transfer");
    on_message(1, head_message{.id = id, .status = 200, .headers = {}});
    on_message(1, part_message{.id = id, .offset = 0, .bytes = "abc"});
    on_message(1, end_message{.id = id, .length = 2});
    BOOST_TEST(all<reply_end_effect>().empty());
    BOOST_TEST(all<reply_abort_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(refused_requests_are_retried_until_the_deadline)
{
    const request_id id = dispatch("transfer");
    std::uint32_t attempt = 1;
    on_message(1, refuse_message{.id = id, .attempt = attempt});
    BOOST_TEST(status().waiting == 1U);
    pass(std::chrono::seconds{10});
    require_refusal(refusal_code::deadline_passed, verdict::not_run);
}

BOOST_AUTO_TEST_CASE(acknowledges_only_bytes_sent_to_the_caller)
{
    const request_id id = dispatch("transfer");
    on_message(1, head_message{.id = id, .status = 200, .headers = {}});
    const std::string bytes(40U << 10U, 'x');
    on_message(1, part_message{.id = id, .offset = 0, .bytes = bytes});
    BOOST_TEST(sent<ack_message>().empty());
    on(caller_progress_event{5, 1000});
    BOOST_TEST(sent<ack_message>().empty());
    on(caller_progress_event{5, 30000});
    BOOST_REQUIRE_EQUAL(sent<ack_message>().size(), 1);
    BOOST_TEST(sent<ack_message>().front().offset == 30000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
