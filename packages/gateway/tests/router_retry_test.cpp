#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>

namespace hemlocknotch::gateway {
namespace {

struct router_retry_fixture : router_fixture {
    /// Sends request 1, of a resumable stream, to an endpoint that breaks off after one event.
    void break_stream_after_first_event()
    {
        send_request(1, "/resume/x");
        head(port.calls[0], 200, true);
        it.on_part(port.calls[0].call, "id: 1\ndata: x\n\n", now);
        it.on_end(port.calls[0].call, call_outcome::broken, now);
    }
};

BOOST_FIXTURE_TEST_SUITE(router_retry_suite, router_retry_fixture)

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
    break_stream_after_first_event();
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    for (std::size_t n = 1; n < port.calls.size(); ++n) {
        reject(port.calls[n]);
    }
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(answer(1).status == 200);
    BOOST_TEST(answer(1).body == "id: 1\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(an_answer_that_does_not_continue_a_begun_stream_is_not_written_into_it)
{
    exchange_id id = 0;
    for (const auto status : {500, 504, 404, 429, 200, 204}) {
        const auto first = port.calls.size();
        send_request(++id, "/resume/x");
        head(port.calls[first], 200, true);
        it.on_part(port.calls[first].call, "id: 1\ndata: x\n\n", now);
        it.on_end(port.calls[first].call, call_outcome::broken, now);
        BOOST_REQUIRE_EQUAL(port.calls.size(), first + 2);
        head(port.calls[first + 1], status);
        it.on_part(port.calls[first + 1].call, "why", now);
        it.on_end(port.calls[first + 1].call, call_outcome::complete, now);
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST(answer(id).is_aborted);
            BOOST_TEST(!answer(id).is_ended);
            BOOST_TEST(answer(id).status == 200);
            BOOST_TEST(answer(id).body == "id: 1\ndata: x\n\n");
        }
        now += std::chrono::seconds{30};
    }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_that_begins_again_is_not_passed_on_twice)
{
    send_request(1, "/resume/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 9\ndata: x\n\nid: 10\ndata: x\n\n", now);
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1], 200, true);
    it.on_part(port.calls[1].call, "id: 9\ndata: x\n\nid: 10\ndata: x\n\nid: 11\ndata: x\n\n", now);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(!answer(1).is_ended);
    BOOST_TEST(answer(1).body == "id: 9\ndata: x\n\nid: 10\ndata: x\n\n");
    BOOST_TEST(port.cancelled.contains(port.calls[1].call));
}

BOOST_AUTO_TEST_CASE(a_stream_without_event_ids_is_not_resumed_once_it_has_begun)
{
    send_request(1, "/resume/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "data: x\n\n", now);
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(answer(1).is_aborted);
}

BOOST_AUTO_TEST_CASE(a_success_that_claims_not_to_have_been_executed_is_not_sent_again)
{
    exchange_id id = 0;
    for (const auto* target : {"/stream/x", "/unsafe/x"}) {
        const auto first = port.calls.size();
        send_request(++id, target);
        answer_fields fields;
        fields.is_signed = true;
        fields.is_event_stream = true;
        fields.is_not_executed = true;
        it.on_head(port.calls[first].call, {200, {}}, fields, now);
        it.on_part(port.calls[first].call, "id: 1\ndata: x\n\n", now);
        it.on_end(port.calls[first].call, call_outcome::complete, now);
        BOOST_TEST_CONTEXT(target)
        {
            BOOST_TEST(port.calls.size() == first + 1);
            BOOST_TEST(answer(id).status == 502);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_status_without_a_body_does_not_complete_a_begun_stream)
{
    break_stream_after_first_event();
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1], 204, true);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(!answer(1).is_ended);
}

BOOST_AUTO_TEST_CASE(an_event_without_an_id_does_not_continue_a_stream)
{
    break_stream_after_first_event();
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1], 200, true);
    it.on_part(port.calls[1].call, "event: error\ndata: failed\n\n", now);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(!answer(1).is_ended);
    BOOST_TEST(answer(1).body == "id: 1\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_rejects_the_resumptions_of_callers_is_not_suspected)
{
    const auto use = [&](std::vector<std::string> names) {
        std::vector<endpoint_record> used;
        std::ranges::copy_if(records, std::back_inserter(used), [&](const endpoint_record& record) {
            return std::ranges::find(names, record.instance) != names.end();
        });
        it.set_endpoints(used, now);
    };
    use({"m1"});
    for (exchange_id id = 1; id <= 2; ++id) {
        send_request(id, "/resume/x");
        head(port.calls.back(), 200, true);
        it.on_part(port.calls.back().call, "id: 1\ndata: x\n\n", now);
    }
    use({"m1", "m2"});
    for (std::size_t n = 0; n < 2; ++n) {
        it.on_end(port.calls[n].call, call_outcome::broken, now);
        BOOST_REQUIRE_EQUAL(port.calls.size(), n + 3);
        BOOST_REQUIRE_EQUAL(port.calls.back().instance, "m2");
        head(port.calls.back(), 404);
    }
    use({"m1", "m2", "m3"});
    bool is_used = false;
    for (exchange_id id = 3; id <= 20; ++id) {
        send_request(id, "/resume/x");
        is_used = is_used || port.calls.back().instance == "m2";
    }
    BOOST_TEST(is_used);
}

BOOST_AUTO_TEST_CASE(a_rejected_resumption_is_sent_to_a_further_endpoint_and_continues)
{
    break_stream_after_first_event();
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    reject(port.calls[1]);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 3U);
    BOOST_TEST(port.calls[2].resume_after == "1");
    head(port.calls[2], 200, true);
    it.on_part(port.calls[2].call, "id: 2\ndata: x\n\n", now);
    it.on_end(port.calls[2].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_ended);
    BOOST_TEST(answer(1).body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(a_failed_resumption_is_sent_to_a_further_endpoint_within_the_limit)
{
    auto document = create_document(2);
    document.routes[4].max_attempts = 3;
    it.set_configuration(std::make_shared<routing_configuration>(std::move(document)), now);
    break_stream_after_first_event();
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1], 500);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 3U);
    BOOST_TEST(port.cancelled.contains(port.calls[1].call));
    head(port.calls[2], 200, true);
    it.on_part(port.calls[2].call, "id: 2\ndata: x\n\n", now);
    it.on_end(port.calls[2].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_ended);
    BOOST_TEST(!answer(1).is_aborted);
    BOOST_TEST(answer(1).body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(logs_an_answer_that_does_not_continue_a_begun_stream)
{
    break_stream_after_first_event();
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
