#include "endpoint_pool_fixture.hpp"

#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

BOOST_FIXTURE_TEST_SUITE(endpoint_pool_suite, pool_fixture)

BOOST_AUTO_TEST_CASE(rewrites_the_request_and_reuses_the_connection)
{
    endpoint.answers = {answer("1", "one"), answer("2", "two")};
    fixed_now = clock.now();
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "one");
    BOOST_TEST(endpoint.received ==
               "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nRemaining: 1000\r\nInstance: i-1\r\n"
               "Account: acme\r\nContent-Length: 3\r\n\r\nabc");
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 1U);
}

BOOST_AUTO_TEST_CASE(discards_a_mismatched_answer_and_does_not_reuse_its_connection)
{
    endpoint.answers = {answer("0", "other") + answer("1", "own"), answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.body == "own");
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(does_not_reuse_a_connection_after_extra_bytes)
{
    endpoint.answers = {answer("1", "one") + answer("1", "again"), answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "one");
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(incomplete_or_unreadable_answer_ends_as_broken)
{
    endpoint.closes_after_answer = true;
    for (const std::string text :
         {"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "not http at all\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"}) {
        endpoint.answers = {text.empty() ? " " : text};
        call("1");
        BOOST_REQUIRE(wait_for_end());
        BOOST_TEST((recorder.outcome == gateway::call_outcome::broken), text);
    }
}

BOOST_AUTO_TEST_CASE(answer_without_a_length_is_complete_when_the_connection_closes)
{
    endpoint.closes_after_answer = true;
    endpoint.answers = {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nabc"};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.body == "abc");
}

BOOST_AUTO_TEST_CASE(answer_without_a_length_is_broken_when_the_connection_is_reset)
{
    endpoint.closes_after_answer = true;
    endpoint.resets = true;
    endpoint.answers = {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nabc"};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::broken));
    BOOST_TEST(pool.connection_count() == 0U);
}

BOOST_AUTO_TEST_CASE(refused_connection_ends_as_not_connected)
{
    const auto port = endpoint.port;
    {
        scripted_endpoint other{loop.base()};
        endpoint.port = other.port;
    }
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::not_connected));
    endpoint.port = port;
}

BOOST_AUTO_TEST_CASE(cancelled_call_reports_no_end)
{
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return endpoint.received.find("abc") != std::string::npos; }));
    pool.cancel(recorder.last_call);
    BOOST_TEST(pool.connection_count() == 0U);
    endpoint.close_all();
    endpoint.answers = {answer("2", "two")};
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.end_count == 1);
    BOOST_TEST(recorder.body == "two");
}

BOOST_AUTO_TEST_CASE(time_until_the_connection_is_established_counts_for_the_request)
{
    endpoint.answers = {answer("1", "one")};
    fixed_now = clock.now();
    call("1");
    *fixed_now += std::chrono::milliseconds{700};
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(endpoint.received.find("Remaining: 300\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_call_that_is_cancelled_when_its_connection_is_established_is_not_sent)
{
    bool is_connected = false;
    recorder.connected = [&](gateway::call_id call) {
        is_connected = true;
        pool.cancel(call);
    };
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return is_connected && endpoint.accepted == 1; }));
    BOOST_TEST(pool.connection_count() == 0U);
    recorder.connected = nullptr;
    endpoint.answers = {answer("2", "two")};
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.end_count == 1);
    BOOST_TEST(endpoint.received.find("Id: 1\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(recalls_a_call_only_until_its_connection_is_established)
{
    call("1");
    BOOST_TEST(pool.recall(recorder.last_call));
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return !endpoint.received.empty(); }));
    BOOST_TEST(!pool.recall(recorder.last_call));
    BOOST_TEST(endpoint.received.find("POST") == endpoint.received.rfind("POST"));
    BOOST_TEST(!pool.recall(recorder.last_call + 1));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_that_cannot_be_reused_does_not_use_up_the_limit_of_connections)
{
    endpoint.answers = {answer("1", "a"), answer("2", "b")};
    call("1", false, 1);
    BOOST_REQUIRE(wait_for_end());
    // Longer than the idle time after which a request that runs once at most gets a new connection.
    const auto until = clock.now() + std::chrono::milliseconds{600};
    BOOST_REQUIRE(loop.run_until([&] { return clock.now() > until; }));
    call("2", true, 1);
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.status == 200);
}

BOOST_AUTO_TEST_CASE(a_connection_is_not_used_again_after_a_failure_without_an_id)
{
    // A second copy of it could arrive as the answer of the next call, which nothing would tell apart.
    endpoint.answers = {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.status == 503);
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(a_late_second_copy_of_an_answer_does_not_reach_the_next_call)
{
    // Arrives after the next call was sent, right before its answer.
    endpoint.answers = {answer("1", "one"), answer("1", "one") + answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 1U);
    BOOST_TEST(recorder.discarded_ids == std::vector<std::string>{"1"}, boost::test_tools::per_element());
}

// Guards against requests that are given up in a partition and reach their endpoint when it has ended.
BOOST_AUTO_TEST_CASE(what_is_unsent_of_a_request_is_discarded_when_its_call_is_cancelled)
{
    endpoint.reads = false;
    body.assign(std::size_t{16} << 20U, 'x');
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return endpoint.accepted == 1; }));
    // Until the buffers of the connection are full.
    BOOST_REQUIRE(loop.run_until([&, n = 0]() mutable { return ++n > 20; }));
    pool.cancel(recorder.last_call);
    endpoint.resume_reading();
    BOOST_REQUIRE(loop.run_until([&] { return endpoint.ended > 0; }));
    BOOST_TEST(endpoint.was_reset);
}

BOOST_AUTO_TEST_CASE(a_connection_without_a_call_is_closed_in_an_orderly_way)
{
    endpoint.answers = {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nConnection: close\r\n"
                        "Content-Length: 3\r\n\r\nabc"};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_REQUIRE(loop.run_until([&] { return endpoint.ended > 0; }));
    BOOST_TEST(!endpoint.was_reset);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
