#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

BOOST_FIXTURE_TEST_SUITE(router_suite, router_fixture)

BOOST_AUTO_TEST_CASE(answers_404_and_401_only_from_a_configuration)
{
    ask(1, "/none/x");
    BOOST_TEST(answer(1).status == 404);
    ask(2, "/safe/x", "key-z");
    BOOST_TEST(answer(2).status == 401);
    router fresh{router_options{}, model_placement, plain_placement, port};
    fresh.on_request(3, create_request("id-3", "/none/x"), now);
    BOOST_TEST(answer(3).status == 503);
    BOOST_TEST(answer(3).has_header("Retry-After"));
    BOOST_TEST(port.calls.empty());
}

BOOST_AUTO_TEST_CASE(passes_a_whole_answer_on)
{
    ask(1, "/unsafe/x");
    BOOST_REQUIRE_EQUAL(port.calls.size(), 1U);
    BOOST_TEST(port.calls[0].account == "a");
    head(port.calls[0], 201);
    it.on_part(port.calls[0].call, "ab", now);
    it.on_part(port.calls[0].call, "cd", now);
    BOOST_TEST(!answer(1).is_ended);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).status == 201);
    BOOST_TEST(answer(1).body == "abcd");
    BOOST_TEST(it.exchange_count() == 0U);
}

BOOST_AUTO_TEST_CASE(never_sends_an_unsafe_request_again_that_may_have_run)
{
    ask(1, "/unsafe/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_CASE(never_sends_a_stream_again_that_may_not_be_resumed)
{
    ask(1, "/stream/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_CASE(sends_an_unsafe_request_again_that_has_not_run)
{
    ask(1, "/unsafe/x");
    reject(port.calls[0]);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    BOOST_TEST(port.calls[1].instance != port.calls[0].instance);
    it.on_end(port.calls[1].call, call_outcome::not_connected, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 3U);
    reject(port.calls[2]);
    BOOST_TEST(answer(1).status == 503);
    BOOST_TEST(answer(1).has_header("Retry-After"));
}

BOOST_AUTO_TEST_CASE(sends_a_safe_request_again_within_its_attempts)
{
    ask(1, "/safe/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    it.on_end(port.calls[1].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 2U);
    BOOST_TEST(answer(1).status == 502);
    ask(2, "/strict/x");
    it.on_end(port.calls[2].call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 3U);
    BOOST_TEST(answer(2).status == 502);
}

BOOST_AUTO_TEST_CASE(passes_a_failure_on_when_no_endpoint_does_better)
{
    ask(1, "/safe/x");
    head(port.calls[0], 500);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1], 500);
    it.on_part(port.calls[1].call, "why", now);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).status == 500);
    BOOST_TEST(answer(1).body == "why");
}

BOOST_AUTO_TEST_CASE(treats_a_success_without_signature_as_broken)
{
    ask(1, "/unsafe/x");
    it.on_head(port.calls[0].call, {200, {}}, answer_fields{}, now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_CASE(holds_a_torn_event_and_resumes_after_the_last_whole_one)
{
    ask(1, "/resume/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: a\n\nid: 2\nda", now);
    BOOST_TEST(answer(1).body == "id: 1\ndata: a\n\n");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    BOOST_TEST(port.calls[1].resume_after == "1");
    head(port.calls[1], 200, true);
    it.on_part(port.calls[1].call, "id: 2\ndata: b\n\n", now);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(answer(1).is_ended);
    BOOST_TEST(it.counters().resumed_streams == 1U);
}

BOOST_AUTO_TEST_CASE(cuts_a_begun_stream_that_may_not_be_resumed)
{
    ask(1, "/stream/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: a\n\n", now);
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(!answer(1).is_ended);
}

BOOST_AUTO_TEST_CASE(does_not_end_a_stream_that_ends_in_a_torn_event)
{
    ask(1, "/stream/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: a\n\nid: 2", now);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(!answer(1).is_ended);
}

BOOST_AUTO_TEST_CASE(cancels_the_call_of_a_caller_that_left)
{
    ask(1, "/stream/x");
    it.on_caller_disconnected(1, now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(it.exchange_count() == 0U);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_TEST(!port.answers.contains(1));
}

BOOST_AUTO_TEST_CASE(ends_a_request_at_the_time_of_its_route)
{
    ask(1, "/unsafe/x");
    now += std::chrono::seconds{8};
    BOOST_TEST((it.next_due(now) <= now));
    it.on_timer(now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    // It may have run, so that 503 would be false.
    BOOST_TEST(answer(1).status == 504);
}

BOOST_AUTO_TEST_CASE(tries_a_second_endpoint_when_the_first_is_silent)
{
    ask(1, "/safe/x");
    now += milliseconds{1500};
    it.on_timer(now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(port.calls[1].instance != port.calls[0].instance);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_endpoints_that_leave_or_are_out_of_service)
{
    for (auto& record : records) {
        record.is_draining = record.instance == "p1";
        record.failure_domain = record.instance == "p2" ? "d2" : "d1";
    }
    it.set_endpoints(records, now);
    it.set_out_of_service({"d2"});
    for (exchange_id n = 1; n <= 4; ++n) {
        ask(n, "/safe/x");
    }
    BOOST_REQUIRE_EQUAL(port.calls.size(), 4U);
    for (const auto& call : port.calls) {
        BOOST_TEST(call.instance == "p3");
    }
}

BOOST_AUTO_TEST_CASE(refuses_at_once_where_there_is_no_endpoint)
{
    it.set_endpoints({}, now);
    ask(1, "/safe/x");
    BOOST_TEST(answer(1).status == 503);
    BOOST_TEST(answer(1).has_header("Retry-After"));
}

BOOST_AUTO_TEST_CASE(lets_requests_wait_for_a_slot_in_turn)
{
    // Three endpoints with four slots and two requests ahead each.
    for (exchange_id n = 1; n <= 20; ++n) {
        ask(n, "/unsafe/x");
    }
    BOOST_TEST(port.calls.size() == 18U);
    head(port.calls[0]);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 19U);
    BOOST_TEST(port.calls[18].request->fields.id == "id-19");
}

BOOST_AUTO_TEST_CASE(a_prompt_that_waits_goes_soon_after_a_place_is_free)
{
    exchange_id last = 0;
    const auto sent = [&] { return port.calls.size(); };
    // Fills what its account may have at the endpoints of the part.
    while (it.exchange_count() == sent()) {
        ask(++last, "/stream/");
    }
    const auto before = sent();
    const auto waiting = it.exchange_count() - before;
    BOOST_REQUIRE(waiting == 1U);
    for (std::size_t n = 0; n < before; ++n) {
        head(port.calls[n], 200, true);
        it.on_part(port.calls[n].call, "id: 1\ndata: x\n\n", now);
    }
    BOOST_REQUIRE(it.next_due(now) <= now + milliseconds{20});
    now += milliseconds{20};
    it.on_timer(now);
    BOOST_TEST(sent() == before + 1);
}

BOOST_AUTO_TEST_CASE(counts_by_account_endpoint_and_kept_tokens)
{
    ask(1, "/stream/");
    ask(2, "/stream/");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(port.total("hemlocknotch_gateway_account_requests_total", "a") == 2.0);
    BOOST_TEST(port.total("hemlocknotch_gateway_endpoint_calls_total", port.calls[0].instance) >= 1.0);
    BOOST_TEST(port.total("hemlocknotch_gateway_endpoint_failures_total", port.calls[0].instance) == 1.0);
    // The second prompt shares 600 of its 1,000 tokens with the first.
    BOOST_TEST(port.total("hemlocknotch_gateway_prompt_tokens_total", "kept") == 600.0);
    BOOST_TEST(port.total("hemlocknotch_gateway_prompt_tokens_total", "read") == 1400.0);
}

BOOST_AUTO_TEST_CASE(keeps_to_the_share_of_retries)
{
    unsigned sent_again = 0;
    for (exchange_id n = 1; n <= 200; ++n) {
        const auto before = port.calls.size();
        ask(n, "/safe/x");
        it.on_end(port.calls.back().call, call_outcome::broken, now);
        sent_again += port.calls.size() == before + 2 ? 1U : 0U;
        if (port.calls.size() == before + 2) {
            it.on_end(port.calls.back().call, call_outcome::broken, now);
        }
        now += milliseconds{20};
    }
    // The stated bound: a fifth of the requests and a reserve of 50.
    BOOST_TEST(sent_again <= 200.0 * 0.2 + 50.0);
    // A gateway alone may use what it is handed of the reserve, whatever comes of its requests.
    BOOST_TEST(sent_again >= 50.0 * retry_budget::reserve_share);
}

BOOST_AUTO_TEST_CASE(takes_gateways_that_it_does_not_hear_for_as_busy_as_itself)
{
    const auto sent_with = [&](std::size_t gateways, bool is_heard) {
        recording_port own;
        router other{router_options{}, model_placement, plain_placement, own};
        other.set_configuration(std::make_shared<routing_configuration>(create_document()), now);
        other.set_endpoints(records, now);
        other.set_gateways(gateways);
        for (std::size_t n = 1; is_heard && n < gateways; ++n) {
            fleet_report report;
            report.gateway = "g" + std::to_string(n);
            other.apply_report(report, now);
        }
        for (exchange_id n = 1; n <= 200; ++n) {
            other.on_request(n, create_request("id-" + std::to_string(n), "/resume/x"), now);
        }
        return own.calls.size();
    };
    // Right after a start nobody has been heard, and all gateways begin together.
    BOOST_TEST(sent_with(4, false) * 4 <= sent_with(1, true) * 2);
    BOOST_TEST(sent_with(4, true) == sent_with(1, true));
}

BOOST_AUTO_TEST_CASE(shares_few_connections_among_many_gateways)
{
    auto document = create_document(2);
    for (auto& service : document.services) {
        service.max_connections = 96;
    }
    it.set_configuration(std::make_shared<routing_configuration>(document), now);
    it.set_gateways(400);
    ask(1, "/safe/x");
    BOOST_REQUIRE_EQUAL(port.calls.size(), 1U);
    // Zero would stand for no limit.
    BOOST_TEST(port.calls[0].max_connections == 1U);
}

BOOST_AUTO_TEST_CASE(a_retry_that_waits_makes_no_backlog_of_old)
{
    // A backlog of long ago that has gone.
    for (exchange_id n = 1; n <= 19; ++n) {
        ask(n, "/unsafe/x");
    }
    while (!port.calls.empty()) {
        const auto call = port.calls.back();
        port.calls.pop_back();
        head(call);
        it.on_end(call.call, call_outcome::complete, now);
    }
    now += std::chrono::seconds{60};
    // All places are taken, and one retry waits for one.
    for (exchange_id n = 101; n <= 118; ++n) {
        ask(n, "/safe/x");
    }
    BOOST_REQUIRE_EQUAL(port.calls.size(), 18U);
    now += std::chrono::seconds{5};
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    ask(200, "/unsafe/x");
    // Nothing has waited for long, so that the low rate of sends only says that few came; and there is a
    // place.
    BOOST_TEST(!answer(200).is_ended);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 19U);
    BOOST_TEST(port.calls[18].request->fields.id == "id-200");
}

BOOST_AUTO_TEST_CASE(never_takes_an_older_configuration)
{
    auto older = create_document(1);
    older.routes.clear();
    auto newer = create_document(5);
    it.set_configuration(std::make_shared<routing_configuration>(newer), now);
    it.set_configuration(std::make_shared<routing_configuration>(older), now);
    ask(1, "/safe/x");
    BOOST_TEST(port.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
