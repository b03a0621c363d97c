#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::seconds;

/// Requests have a time limit of 8 s.
struct router_stop_fixture : router_fixture {
    void stop_in(duration left) { it.begin_stop(now + left, now); }

    void check_refused(exchange_id exchange)
    {
        BOOST_TEST(answer(exchange).status == 503);
        BOOST_TEST(answer(exchange).body == "stopping\n");
        BOOST_TEST(answer(exchange).has_header("Retry-After"));
    }

    /// Sends requests until one has to wait. Returns its id.
    exchange_id fill(const std::string& target)
    {
        exchange_id out = 0;
        std::size_t sent = 0;
        do {
            sent = port.calls.size();
            send_request(++out, target);
        } while (port.calls.size() > sent);
        BOOST_REQUIRE(!answer(out).is_ended);
        return out;
    }
};

BOOST_FIXTURE_TEST_SUITE(router_stop_suite, router_stop_fixture)

BOOST_AUTO_TEST_CASE(a_request_that_may_outlast_the_stop_is_refused_and_not_sent)
{
    stop_in(seconds{4});
    send_request(1, "/unsafe/x");
    send_request(2, "/safe/x");
    send_request(3, "/stream/x");
    for (const exchange_id id : {1U, 2U, 3U}) {
        check_refused(id);
    }
    BOOST_TEST(port.calls.empty());
    BOOST_TEST(it.exchange_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_time_limit_ends_before_the_stop_is_served)
{
    stop_in(seconds{8});
    send_request(1, "/unsafe/x");
    BOOST_REQUIRE_EQUAL(port.calls.size(), 1U);
    head(port.calls[0]);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).status == 200);
}

BOOST_AUTO_TEST_CASE(a_request_that_runs_when_the_stop_begins_is_served)
{
    send_request(1, "/unsafe/x");
    stop_in(seconds{4});
    head(port.calls[0]);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).status == 200);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_and_may_outlast_the_stop_is_refused)
{
    const auto id = fill("/unsafe/x");
    stop_in(seconds{4});
    check_refused(id);
    BOOST_TEST(it.exchange_count() == id - 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_is_served_where_its_time_limit_ends_before_the_stop)
{
    const auto id = fill("/unsafe/x");
    const auto sent = port.calls.size();
    stop_in(seconds{8});
    head(port.calls[0]);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), sent + 1);
    BOOST_TEST(port.calls.back().request->fields.id == "id-" + std::to_string(id));
}

BOOST_AUTO_TEST_CASE(a_rejected_request_that_may_outlast_the_stop_is_refused_and_not_sent_again)
{
    send_request(1, "/unsafe/x");
    stop_in(seconds{4});
    reject(port.calls[0]);
    BOOST_TEST(port.calls.size() == 1U);
    check_refused(1);
}

BOOST_AUTO_TEST_CASE(a_request_that_did_not_reach_its_endpoint_and_may_outlast_the_stop_is_refused)
{
    send_request(1, "/unsafe/x");
    stop_in(seconds{4});
    it.on_end(port.calls[0].call, call_outcome::not_connected, now);
    BOOST_TEST(port.calls.size() == 1U);
    check_refused(1);
}

BOOST_AUTO_TEST_CASE(a_request_recalled_from_a_leaving_endpoint_that_may_outlast_the_stop_is_refused)
{
    send_request(1, "/unsafe/x");
    port.unsent.insert(port.calls[0].call);
    stop_in(seconds{4});
    for (auto& record : records) {
        record.is_draining = record.is_draining || record.instance == port.calls[0].instance;
    }
    it.set_endpoints(records, now);
    BOOST_TEST(port.calls.size() == 1U);
    check_refused(1);
}

BOOST_AUTO_TEST_CASE(a_broken_request_that_may_be_repeated_is_sent_again_during_the_stop)
{
    // Otherwise its caller would get a failure at once.
    send_request(1, "/safe/x");
    stop_in(seconds{4});
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    head(port.calls[1]);
    it.on_end(port.calls[1].call, call_outcome::complete, now);
    BOOST_TEST(answer(1).status == 200);
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_is_resumed_during_the_stop)
{
    send_request(1, "/resume/x");
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: x\n\n", now);
    stop_in(seconds{4});
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    BOOST_TEST(port.calls[1].resume_after == "1");
}

BOOST_AUTO_TEST_CASE(the_end_answers_each_open_request_with_what_is_known_of_its_execution)
{
    send_request(1, "/unsafe/x");
    send_request(2, "/unsafe/x");
    send_request(3, "/stream/x");
    port.unsent.insert(port.calls[1].call);
    head(port.calls[2], 200, true);
    it.on_part(port.calls[2].call, "id: 1\ndata: x\n\n", now);
    it.end_all(now);
    BOOST_TEST(answer(1).status == 502);
    BOOST_TEST(port.cancelled.contains(port.calls[0].call));
    check_refused(2);
    BOOST_TEST(!port.cancelled.contains(port.calls[1].call));
    BOOST_TEST(answer(3).is_aborted);
    BOOST_TEST(!answer(3).is_ended);
    BOOST_TEST(port.cancelled.contains(port.calls[2].call));
    BOOST_TEST(it.exchange_count() == 0U);
}

BOOST_AUTO_TEST_CASE(the_end_refuses_requests_that_wait)
{
    const auto id = fill("/unsafe/x");
    it.end_all(now);
    check_refused(id);
    BOOST_TEST(it.exchange_count() == 0U);
}

BOOST_AUTO_TEST_CASE(the_end_does_not_promise_that_a_request_sent_before_has_not_run)
{
    send_request(1, "/safe/x");
    it.on_end(port.calls[0].call, call_outcome::broken, now);
    BOOST_REQUIRE_EQUAL(port.calls.size(), 2U);
    port.unsent.insert(port.calls[1].call);
    it.end_all(now);
    BOOST_TEST(answer(1).status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
