#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

BOOST_FIXTURE_TEST_SUITE(router_suite, router_fixture)

BOOST_AUTO_TEST_CASE(answers_404_and_401_only_with_a_configuration)
{
    send_request(1, "/none/x");
    BOOST_TEST(answer(1).status == 404);
    send_request(2, "/safe/x", "key-z");
    BOOST_TEST(answer(2).status == 401);
    router fresh{router_options{}, model_placement, plain_placement, port};
    fresh.on_request(3, create_request("id-3", "/none/x"), now);
    BOOST_TEST(answer(3).status == 503);
    BOOST_TEST(answer(3).has_header("Retry-After"));
    BOOST_TEST(port.calls.empty());
}

BOOST_AUTO_TEST_CASE(passes_on_a_complete_answer)
{
    send_request(1, "/unsafe/x");
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

BOOST_AUTO_TEST_CASE(a_request_whose_caller_has_disconnected_unnoticed_is_not_sent_on)
{
    send_request(1, "/safe/x");
    BOOST_REQUIRE_EQUAL(port.calls.size(), 1U);
    now += milliseconds{200};
    port.disconnected = {1};
    it.on_end(port.calls[0].call, call_outcome::not_connected, now);
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(it.exchange_count() == 0U);
    BOOST_TEST(it.counters().cancelled == 1U);
    it.on_caller_disconnected(1, now);
    BOOST_TEST(it.counters().cancelled == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_disconnected_while_it_waited_for_a_connection_is_not_sent)
{
    send_request(1, "/safe/x");
    BOOST_REQUIRE_EQUAL(port.calls.size(), 1U);
    now += milliseconds{200};
    it.on_connected(port.calls[0].call, now);
    BOOST_TEST(port.cancelled.empty());
    port.disconnected = {1};
    it.on_connected(port.calls[0].call, now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(it.exchange_count() == 0U);
    BOOST_TEST(it.counters().cancelled == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_time_passed_while_it_waited_for_a_connection_has_not_run)
{
    send_request(1, "/unsafe/x");
    now += std::chrono::seconds{8};
    it.on_connected(port.calls[0].call, now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(answer(1).status == 503);
    it.on_timer(now);
    BOOST_TEST(it.exchange_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_gateway_does_not_deny_a_route_or_key_that_a_newer_configuration_may_have)
{
    fleet_report report;
    report.gateway = "g2";
    report.configuration_version = 1;
    it.apply_report(report, now);
    send_request(1, "/other/x");
    send_request(2, "/safe/x", "key-c");
    BOOST_TEST(answer(1).status == 404);
    BOOST_TEST(answer(2).status == 401);
    report.configuration_version = 2;
    it.apply_report(report, now);
    send_request(3, "/other/x");
    send_request(4, "/safe/x", "key-c");
    send_request(5, "/safe/x");
    for (const exchange_id n : {3, 4}) {
        BOOST_TEST(answer(n).status == 503);
        BOOST_TEST(answer(n).body == "configuration-behind\n");
        BOOST_TEST(answer(n).has_header("Retry-After"));
    }
    BOOST_TEST(port.calls.size() == 1U);
    it.set_configuration(std::make_shared<routing_configuration>(create_document(2)), now);
    send_request(6, "/other/x");
    BOOST_TEST(answer(6).status == 404);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_is_lost_does_not_make_others_wait_for_its_configuration)
{
    fleet_report report;
    report.gateway = "g2";
    report.configuration_version = 2;
    it.apply_report(report, now);
    it.remove_gateway("g2");
    send_request(1, "/other/x");
    BOOST_TEST(answer(1).status == 404);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_cuts_calls_is_logged_with_the_prompt_parts_that_it_had_not_answered)
{
    send_request(1, "/stream/x");
    send_request(2, "/stream/x");
    BOOST_REQUIRE_EQUAL(port.calls[1].instance, port.calls[0].instance);
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: a\n\n", now);
    now += milliseconds{30};
    it.on_end(port.calls[1].call, call_outcome::broken, now);
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    const auto lines = port.lines("endpoint-cut-calls");
    BOOST_REQUIRE_EQUAL(lines.size(), 1U);
    BOOST_TEST(field_of(lines[0], "endpoint") == port.calls[0].instance);
    BOOST_TEST(field_of(lines[0], "open_calls") == "2");
    BOOST_TEST(field_of(lines[0], "unanswered") == "1");
    BOOST_TEST(field_of(lines[0], "unanswered_parts") == "1");
    const auto failures = port.lines("call-failed");
    BOOST_REQUIRE_EQUAL(failures.size(), 2U);
    BOOST_TEST(field_of(failures[0], "parts") == "1");
    BOOST_TEST(field_of(failures[0], "ran_ms") == "30");
}

BOOST_AUTO_TEST_CASE(a_limit_that_an_endpoint_states_is_logged_when_it_changes)
{
    answer_fields fields;
    fields.is_signed = true;
    fields.request_limit = 4.5;
    for (exchange_id n = 1; n <= 2; ++n) {
        send_request(n, "/stream/x");
        it.on_head(port.calls.back().call, {200, {}}, fields, now);
        it.on_end(port.calls.back().call, call_outcome::complete, now);
        now += std::chrono::seconds{1};
    }
    BOOST_TEST(port.calls[0].instance == port.calls[1].instance);
    BOOST_TEST(port.lines("endpoint-limit-changed").size() == 1U);
}

BOOST_AUTO_TEST_CASE(treats_an_unsigned_success_as_broken)
{
    send_request(1, "/unsafe/x");
    it.on_head(port.calls[0].call, {200, {}}, answer_fields{}, now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_CASE(drops_an_incomplete_event_and_resumes_after_the_last_complete_one)
{
    send_request(1, "/resume/x");
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

BOOST_AUTO_TEST_CASE(aborts_a_broken_stream_that_is_not_resumable)
{
    send_request(1, "/stream/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: a\n\n", now);
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(!answer(1).is_ended);
}

BOOST_AUTO_TEST_CASE(aborts_a_stream_that_ends_with_an_incomplete_event)
{
    send_request(1, "/stream/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: a\n\nid: 2", now);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(!answer(1).is_ended);
}

BOOST_AUTO_TEST_CASE(cancels_the_call_of_a_disconnected_caller)
{
    send_request(1, "/stream/x");
    it.on_caller_disconnected(1, now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    BOOST_TEST(it.exchange_count() == 0U);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_TEST(!port.answers.contains(1));
}

BOOST_AUTO_TEST_CASE(answers_504_when_the_caller_timeout_passes)
{
    send_request(1, "/unsafe/x");
    now += std::chrono::seconds{8};
    BOOST_TEST((it.next_due(now) <= now));
    it.on_timer(now);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    // It may have been executed, so 503 would be wrong.
    BOOST_TEST(answer(1).status == 504);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_endpoints_that_drain_or_are_out_of_service)
{
    for (auto& record : records) {
        record.is_draining = record.instance == "p1";
        record.failure_domain = record.instance == "p2" ? "d2" : "d1";
    }
    it.set_endpoints(records, now);
    it.set_out_of_service({"d2"});
    for (exchange_id n = 1; n <= 4; ++n) {
        send_request(n, "/safe/x");
    }
    BOOST_REQUIRE_EQUAL(port.calls.size(), 4U);
    for (const auto& call : port.calls) {
        BOOST_TEST(call.instance == "p3");
    }
}

BOOST_AUTO_TEST_CASE(does_not_send_to_an_endpoint_that_drains_before_the_connection_is_made)
{
    send_request(1, "/unsafe/x");
    send_request(2, "/unsafe/x");
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    const auto first = port.calls[0].instance;
    BOOST_REQUIRE(port.calls[1].instance != first);
    port.unsent = {port.calls[0].call, port.calls[1].call};
    for (auto& record : records) {
        record.is_draining = record.instance == first;
    }
    it.set_endpoints(records, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 3U);
    BOOST_TEST(port.calls[2].request->fields.id == port.calls[0].request->fields.id);
    BOOST_TEST(port.calls[2].instance != first);
    BOOST_TEST(port.unsent.contains(port.calls[1].call));
}

BOOST_AUTO_TEST_CASE(leaves_a_sent_request_at_an_endpoint_that_drains)
{
    send_request(1, "/safe/x");
    for (auto& record : records) {
        record.is_draining = record.instance == port.calls[0].instance;
    }
    it.set_endpoints(records, now);
    BOOST_TEST(port.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refuses_at_once_without_an_endpoint)
{
    it.set_endpoints({}, now);
    send_request(1, "/safe/x");
    BOOST_TEST(answer(1).status == 503);
    BOOST_TEST(answer(1).has_header("Retry-After"));
}

BOOST_AUTO_TEST_CASE(sends_waiting_requests_in_order_as_slots_become_free)
{
    // Three endpoints with four slots and two requests ahead each.
    for (exchange_id n = 1; n <= 20; ++n) {
        send_request(n, "/unsafe/x");
    }
    BOOST_TEST(port.calls.size() == 18U);
    head(port.calls[0]);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 19U);
    BOOST_TEST(port.calls[18].request->fields.id == "id-19");
}

BOOST_AUTO_TEST_CASE(sends_a_waiting_prompt_soon_after_a_slot_is_free)
{
    exchange_id last = 0;
    const auto sent = [&] { return port.calls.size(); };
    // Sends requests until one has to wait, because the endpoints of the shared part are at the limit for its
    // account.
    while (it.exchange_count() == sent()) {
        send_request(++last, "/stream/");
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

BOOST_AUTO_TEST_CASE(counts_by_account_endpoint_and_cached_tokens)
{
    send_request(1, "/stream/");
    send_request(2, "/stream/");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_TEST(port.total("hemlocknotch_gateway_account_requests_total", "a") == 2.0);
    BOOST_TEST(port.total("hemlocknotch_gateway_endpoint_calls_total", port.calls[0].instance) >= 1.0);
    BOOST_TEST(port.total("hemlocknotch_gateway_endpoint_failures_total", port.calls[0].instance) == 1.0);
    // The second prompt shares 600 of its 1,000 tokens with the first.
    BOOST_TEST(port.total("hemlocknotch_gateway_prompt_tokens_total", "kept") == 600.0);
    BOOST_TEST(port.total("hemlocknotch_gateway_prompt_tokens_total", "read") == 1400.0);
}

BOOST_AUTO_TEST_CASE(assumes_its_own_load_for_gateways_that_do_not_report)
{
    const auto sent_with = [&](std::size_t gateways, bool is_reporting) {
        recording_port own_port;
        router other{router_options{}, model_placement, plain_placement, own_port};
        other.set_configuration(std::make_shared<routing_configuration>(create_document()), now);
        other.set_endpoints(records, now);
        other.set_gateways(gateways);
        for (std::size_t n = 1; is_reporting && n < gateways; ++n) {
            fleet_report report;
            report.gateway = "g" + std::to_string(n);
            other.apply_report(report, now);
        }
        for (exchange_id n = 1; n <= 200; ++n) {
            other.on_request(n, create_request("id-" + std::to_string(n), "/resume/x"), now);
        }
        return own_port.calls.size();
    };
    // Directly after a start no other gateway has reported yet, and all gateways begin at once.
    BOOST_TEST(sent_with(4, false) * 4 <= sent_with(1, true) * 2);
    BOOST_TEST(sent_with(4, true) == sent_with(1, true));
}

BOOST_AUTO_TEST_CASE(allows_one_connection_when_gateways_outnumber_connections)
{
    auto document = create_document(2);
    for (auto& service : document.services) {
        service.max_connections = 96;
    }
    it.set_configuration(std::make_shared<routing_configuration>(document), now);
    it.set_gateways(400);
    send_request(1, "/safe/x");
    BOOST_REQUIRE_EQUAL(port.calls.size(), 1U);
    // Zero would mean no limit.
    BOOST_TEST(port.calls[0].max_connections == 1U);
}

BOOST_AUTO_TEST_CASE(ignores_an_older_configuration)
{
    auto older = create_document(1);
    older.routes.clear();
    auto newer = create_document(5);
    it.set_configuration(std::make_shared<routing_configuration>(newer), now);
    it.set_configuration(std::make_shared<routing_configuration>(older), now);
    send_request(1, "/safe/x");
    BOOST_TEST(port.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_event_without_end_is_given_up_and_its_endpoint_suspected)
{
    send_request(1, "/resume/x");
    const auto first = port.calls.at(0);
    head(first, 200, true);
    it.on_part(first.call, "id: 1\ndata: a\n\n", now);
    const std::string line(std::size_t{16} << 10U, 'x');
    for (int n = 0; n < 20 && port.cancelled.empty(); ++n) {
        it.on_part(first.call, line, now);
    }
    BOOST_REQUIRE(port.cancelled.contains(first.call));
    // The stream goes on at another endpoint, after the last whole event.
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    BOOST_TEST(port.calls[1].instance != first.instance);
    BOOST_TEST(port.calls[1].resume_after == "1");
    BOOST_TEST(answer(1).body == "id: 1\ndata: a\n\n");
}

BOOST_AUTO_TEST_CASE(held_answers_are_bounded_each_and_together)
{
    constexpr std::size_t part_bytes = std::size_t{256} << 10U;
    constexpr std::uint64_t count = 40;
    const std::string part(part_bytes, 'x');
    for (std::uint64_t n = 1; n <= count; ++n) {
        send_request(n, "/unsafe/x");
    }
    BOOST_REQUIRE(port.calls.size() >= 8U);
    const auto calls = port.calls;
    for (const auto& call : calls) {
        head(call);
    }
    // All grow in turn, beyond the largest answer.
    std::size_t given_up = 0;
    std::map<call_id, std::size_t> held;
    for (int round = 0; round < 40; ++round) {
        for (const auto& call : calls) {
            if (port.cancelled.contains(call.call)) {
                held.erase(call.call);
                continue;
            }
            it.on_part(call.call, part, now);
            held[call.call] += part_bytes;
            std::size_t total = 0;
            for (const auto& [id, bytes] : held) {
                total += port.cancelled.contains(id) ? 0 : bytes;
            }
            BOOST_REQUIRE(total <= std::size_t{65} << 20U);
        }
    }
    for (const auto& call : calls) {
        given_up += port.cancelled.contains(call.call) ? 1 : 0;
    }
    BOOST_TEST(given_up == calls.size());
    // Its caller learns that it may have run. Once the endpoints are trusted again, a small answer passes.
    BOOST_TEST(answer(1).status == 502);
    now += std::chrono::seconds{20};
    it.on_timer(now);
    send_request(count + 1, "/unsafe/x");
    const auto last = port.calls.back();
    head(last);
    it.on_part(last.call, "abc", now);
    it.on_end(last.call, call_outcome::complete, now);
    BOOST_TEST(port.answers[count + 1].status == 200);
}

BOOST_FIXTURE_TEST_CASE(an_account_that_comes_is_not_refused_for_what_was_sent_before_it_came, router_fixture)
{
    fleet_report full;
    full.gateway = "other";
    full.endpoints = {{"m1", 1e9, 1, 0.0}, {"m2", 1e9, 1, 0.0}, {"m3", 1e9, 1, 0.0}};
    send_request(1, "/stream/");
    it.apply_report(full, now);
    send_request(2, "/stream/");
    now += milliseconds{400};
    for (const exchange_id id : {3, 4, 5}) {
        send_request(id, "/stream/", "key-b");
    }
    full.endpoints.clear();
    it.apply_report(full, now);
    now += milliseconds{20};
    it.on_timer(now);
    BOOST_TEST(port.calls.size() == 5U);
    for (const exchange_id id : {3, 4, 5}) {
        BOOST_TEST(!port.answers.contains(id));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
