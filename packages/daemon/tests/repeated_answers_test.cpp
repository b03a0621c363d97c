#include "endpoint_pool_fixture.hpp"

#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using gateway::call_outcome;

std::string refusal(const std::string& head_lines, const std::string& status = "503 Full")
{
    return "HTTP/1.1 " + status + "\r\n" + head_lines + "Content-Length: 4\r\n\r\nfull";
}

/// Ends a first call with its own answer, and a second one with whatever comes.
void play(pool_fixture& it, const std::string& repeated)
{
    it.endpoint.repeated = repeated;
    it.endpoint.answers = {answer("1", "one"), answer("2", "two")};
    it.call("1");
    BOOST_REQUIRE(it.wait_for_end());
    it.call("2");
    BOOST_REQUIRE(it.wait_for_end());
}

BOOST_FIXTURE_TEST_SUITE(repeated_answers_suite, pool_fixture)

BOOST_AUTO_TEST_CASE(a_failure_without_an_id_on_a_kept_connection_is_not_the_answer_of_the_next_call)
{
    for (const auto& copy : std::vector<std::string>{
             refusal(""), refusal("Id:\r\n"), refusal("Id: \r\n"), refusal("Connection: close\r\n"),
             refusal("", "421 Other"), refusal("", "429 Many"), refusal("", "408 Late"),
             refusal("", "400 Bad"), refusal("", "500 Failed"), "HTTP/1.1 100 Continue\r\n\r\n" + refusal(""),
             std::string{"HTTP/1.1 503 Full\r\n\r\n"}}) {
        for (const auto is_bytewise : {false, true}) {
            pool_fixture it;
            it.endpoint.sends_bytewise = is_bytewise;
            play(it, copy);
            // The request may have run.
            BOOST_TEST((it.recorder.outcome == call_outcome::broken), copy);
            BOOST_TEST(it.recorder.status == 0, copy);
            BOOST_TEST(it.recorder.discarded_ids == std::vector<std::string>{""},
                       boost::test_tools::per_element());
            BOOST_TEST(it.pool.connection_count() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_failure_without_an_id_does_not_end_a_call_whose_request_is_still_being_sent)
{
    endpoint.repeated = refusal("");
    endpoint.answers = {answer("1", "one"), answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    body.assign(std::size_t{16} << 20U, 'x');
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(endpoint.accepted == 1U);
    BOOST_TEST((recorder.outcome == call_outcome::broken));
    BOOST_TEST(recorder.status == 0);
}

BOOST_AUTO_TEST_CASE(a_copy_with_the_id_of_another_request_is_discarded_in_any_form)
{
    for (const auto& copy : std::vector<std::string>{
             refusal("Id: 1\r\n"), refusal("Id:   1  \r\n"), refusal("id: 1\r\n"),
             refusal("Id: 1\r\n", "421 Other"), refusal("Id: 1\r\n", "429 Many"),
             refusal("Id: 1\r\n") + refusal("Id: 0\r\n"),
             "HTTP/1.1 100 Continue\r\n\r\n" + refusal("Id: 1\r\n"),
             std::string{
                 "HTTP/1.1 503 Full\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"}}) {
        for (const auto is_bytewise : {false, true}) {
            pool_fixture it;
            it.endpoint.sends_bytewise = is_bytewise;
            play(it, copy);
            BOOST_TEST((it.recorder.outcome == call_outcome::complete), copy);
            BOOST_TEST(it.recorder.body == "two", copy);
            BOOST_TEST(it.pool.connection_count() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_copy_that_closes_the_connection_leaves_open_whether_the_call_was_executed)
{
    for (const auto& copy : {refusal("Id: 1\r\nConnection: close\r\n"),
                             std::string{"HTTP/1.1 503 Full\r\nId: 1\r\nConnection: close\r\n\r\n"}}) {
        pool_fixture it;
        it.endpoint.closes_after_answer = false;
        it.endpoint.repeated = copy;
        it.endpoint.answers = {answer("1", "one"), answer("2", "two")};
        it.call("1");
        BOOST_REQUIRE(it.wait_for_end());
        it.endpoint.closes_after_answer = true;
        it.call("2");
        BOOST_REQUIRE(it.wait_for_end());
        BOOST_TEST((it.recorder.outcome == call_outcome::broken), copy);
        BOOST_TEST(it.recorder.status == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_request_with_a_repeated_id_avoids_the_connection_that_carried_the_id)
{
    // The copy is that of the first refusal, which the id of the later request would not tell apart.
    endpoint.repeated = refusal("Id: 1\r\n");
    endpoint.answers = {refusal("Id: 1\r\n"), answer("1", "run"), answer("3", "three")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.status == 503);
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.status == 200);
    BOOST_TEST(recorder.body == "run");
    BOOST_TEST(endpoint.accepted == 2U);
    call("3");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "three");
    BOOST_TEST(endpoint.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(what_arrives_while_a_connection_is_idle_does_not_reach_the_next_call)
{
    for (const auto& copy : {refusal(""), refusal("Id: 1\r\n"), refusal("Id: 2\r\n")}) {
        pool_fixture it;
        it.endpoint.answers = {answer("1", "one"), answer("2", "two")};
        it.call("1");
        BOOST_REQUIRE(it.wait_for_end());
        it.endpoint.send_now(copy);
        it.call("2", true);
        BOOST_REQUIRE(it.wait_for_end());
        BOOST_TEST(it.recorder.status == 200, copy);
        BOOST_TEST(it.recorder.body == "two", copy);
        BOOST_TEST(it.endpoint.accepted == 2U);
    }
}

BOOST_AUTO_TEST_CASE(what_arrives_before_the_request_is_sent_is_not_its_answer)
{
    recorder.connected = [&](gateway::call_id /*call*/) { endpoint.send_now(refusal("")); };
    endpoint.answers = {answer("1", "one")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == call_outcome::not_connected));
    BOOST_TEST(recorder.status == 0);
    BOOST_REQUIRE(loop.run_until([&] { return endpoint.accepted == 1; }));
    BOOST_TEST(endpoint.received.empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_whose_refusals_have_no_id_is_served_on_a_connection_for_each_call)
{
    fixed_now = clock.now();
    endpoint.answers = {answer("1", "one"), refusal("")};
    for (const auto* id : {"1", "2"}) {
        call(id, true);
        BOOST_REQUIRE(wait_for_end());
    }
    BOOST_TEST((recorder.outcome == call_outcome::broken));
    endpoint.answers = {refusal(""), answer("4", "four"), refusal(""), answer("6", "six")};
    const std::vector<int> statuses{503, 200, 503, 200};
    for (std::size_t n = 0; n < statuses.size(); ++n) {
        call(std::to_string(n + 3), true);
        BOOST_REQUIRE(wait_for_end());
        BOOST_TEST((recorder.outcome == call_outcome::complete));
        BOOST_TEST(recorder.status == statuses[n]);
        BOOST_TEST(endpoint.accepted == n + 2);
        BOOST_TEST(pool.connection_count() == 0U);
    }
    *fixed_now += std::chrono::minutes{2};
    endpoint.answers = {answer("7", "a"), answer("8", "b")};
    for (const auto* id : {"7", "8"}) {
        call(id);
        BOOST_REQUIRE(wait_for_end());
    }
    BOOST_TEST(endpoint.accepted == 6U);
}

BOOST_AUTO_TEST_CASE(other_idle_connections_are_not_used_after_a_failure_without_an_id)
{
    endpoint.answers = {answer("1", "a"), answer("1", "a"), refusal("")};
    call("1");
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.end_count == 2; }));
    BOOST_TEST(pool.connection_count() == 2U);
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == call_outcome::broken));
    BOOST_TEST(pool.connection_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_copy_of_an_answer_to_head_does_not_turn_the_body_of_the_next_answer_into_an_answer)
{
    const auto own = answer("2", refusal("Id: 2\r\n"));
    const auto head_length = own.find("\r\n\r\n") + 4;
    const auto to_head =
        "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: " + std::to_string(head_length) +
        "\r\n\r\n";
    endpoint.repeated = to_head;
    endpoint.answers = {to_head, own};
    method = "HEAD";
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.status == 200);
    method = "POST";
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == call_outcome::broken));
    BOOST_TEST(recorder.status == 0);
}

BOOST_AUTO_TEST_CASE(a_connection_carries_a_bounded_number_of_calls)
{
    constexpr std::size_t limit = 500;
    fixed_now = clock.now();
    for (std::size_t n = 1; n <= limit + 1; ++n) {
        const auto id = std::to_string(n);
        endpoint.answers = {answer(id, "x")};
        call(id);
        BOOST_REQUIRE(wait_for_end());
        BOOST_REQUIRE(endpoint.accepted == (n <= limit ? 1U : 2U));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
