#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

BOOST_FIXTURE_TEST_SUITE(router_retry_suite, router_fixture)

BOOST_AUTO_TEST_CASE(does_not_retry_an_unsafe_request_that_may_have_been_executed)
{
    send_request(1, "/unsafe/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_CASE(does_not_retry_a_stream_that_is_not_resumable)
{
    send_request(1, "/stream/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_CASE(retries_an_unsafe_request_that_was_not_executed)
{
    send_request(1, "/unsafe/x");
    reject(port.calls[0]);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    BOOST_TEST(port.calls[1].instance != port.calls[0].instance);
    it.on_end(port.calls[1].call, call_outcome::not_connected, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 3U);
    reject(port.calls[2]);
    BOOST_TEST(answer(1).status == 503);
    BOOST_TEST(answer(1).has_header("Retry-After"));
}

BOOST_AUTO_TEST_CASE(retries_a_safe_request_up_to_its_maximum_attempts)
{
    send_request(1, "/safe/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    it.on_end(port.calls[1].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 2U);
    BOOST_TEST(answer(1).status == 502);
    send_request(2, "/strict/x");
    it.on_end(port.calls[2].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 3U);
    BOOST_TEST(answer(2).status == 502);
}

BOOST_AUTO_TEST_CASE(passes_on_a_failure_when_the_retry_fails_too)
{
    send_request(1, "/safe/x");
    head(port.calls[0], 500);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1], 500);
    it.on_part(port.calls[1].call, "why", now);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).status == 500);
    BOOST_TEST(answer(1).body == "why");
}

BOOST_AUTO_TEST_CASE(retries_a_safe_request_when_the_first_endpoint_is_unresponsive)
{
    send_request(1, "/safe/x");
    now += milliseconds{1500};
    it.on_timer(now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(port.calls[1].instance != port.calls[0].instance);
}

BOOST_AUTO_TEST_CASE(sends_no_second_answer_into_a_stream_whose_resumption_is_rejected)
{
    send_request(1, "/resume/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: x\n\n", now);
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    for (std::size_t n = 1; n < port.calls.size(); ++n) {
        reject(port.calls[n]);
    }
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(answer(1).status == 200);
    BOOST_TEST(answer(1).body == "id: 1\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(logs_an_answer_that_does_not_continue_a_begun_stream)
{
    send_request(1, "/resume/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: x\n\n", now);
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1], 500);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    const auto lines = port.lines("stream-not-continued");
    BOOST_REQUIRE_EQUAL(lines.size(), 1U);
    BOOST_TEST(field_of(lines[0], "endpoint") == port.calls[1].instance);
    BOOST_TEST(field_of(lines[0], "status") == "500");
    BOOST_TEST(field_of(lines[0], "last_event") == "1");
    BOOST_TEST(port.total("hemlocknotch_gateway_streams_not_continued_total", port.calls[1].instance) == 1.0);
    const auto ends = port.lines("request-ended");
    BOOST_REQUIRE_EQUAL(ends.size(), 1U);
    BOOST_TEST(field_of(ends[0], "begun") == "1");
    BOOST_TEST(field_of(ends[0], "last_event") == "1");
}

BOOST_AUTO_TEST_CASE(does_not_state_that_a_request_was_not_executed_when_only_its_retry_is_rejected)
{
    send_request(1, "/safe/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    for (std::size_t n = 1; n < port.calls.size(); ++n) {
        reject(port.calls[n]);
    }
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_CASE(does_not_pass_on_a_status_that_promises_more_than_the_endpoint_says)
{
    // Without the endpoint's word that it has not executed the request.
    exchange_id n = 0;
    for (const auto status : {408, 429, 503}) {
        send_request(++n, "/unsafe/x");
        const auto calls = port.calls.size();
        head(port.calls.back(), status);
        it.on_end(port.calls.back().call, call_outcome::complete, now);
        BOOST_TEST(port.calls.size() == calls);
        BOOST_TEST(answer(n).status == 502);
    }
}

BOOST_AUTO_TEST_CASE(keeps_retries_within_the_limit)
{
    unsigned retries = 0;
    for (exchange_id n = 1; n <= 200; ++n) {
        const auto before = port.calls.size();
        send_request(n, "/safe/x");
        it.on_end(port.calls.back().call, call_outcome::broken, now);
        retries += port.calls.size() == before + 2 ? 1U : 0U;
        if (port.calls.size() == before + 2) {
            it.on_end(port.calls.back().call, call_outcome::broken, now);
        }
        now += milliseconds{20};
    }
    // The specified limit: a fifth of the requests, and a reserve of 50.
    BOOST_TEST(retries <= 200.0 * 0.2 + 50.0);
    // A single gateway may use its whole part of the reserve, however its requests end.
    BOOST_TEST(retries >= 50.0 * retry_budget::reserve_share);
}

BOOST_AUTO_TEST_CASE(a_waiting_retry_does_not_revive_an_old_backlog)
{
    // A backlog that ended long ago.
    for (exchange_id n = 1; n <= 19; ++n) {
        send_request(n, "/unsafe/x");
    }
    while (!port.calls.empty()) {
        const auto call = port.calls.back();
        port.calls.pop_back();
        head(call);
        it.on_end(call.call, call_outcome::complete, now);
    }
    now += std::chrono::seconds{60};
    // All slots are in use, and one retry waits for a slot.
    for (exchange_id n = 101; n <= 118; ++n) {
        send_request(n, "/safe/x");
    }
    BOOST_REQUIRE_EQUAL(port.calls.size(), 18U);
    now += std::chrono::seconds{5};
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    send_request(200, "/unsafe/x");
    // Nothing has waited for long, so the low send rate only shows that few requests arrived. A slot is free,
    // so the request is sent.
    BOOST_TEST(!answer(200).is_ended);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 19U);
    BOOST_TEST(port.calls[18].request->fields.id == "id-200");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
