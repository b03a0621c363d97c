#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

struct slow_caller_fixture : router_fixture {
    slow_caller_fixture()
    {
        send_request(1, "/resume/");
        head(port.calls.back(), 200, true);
        it.on_part(port.calls.back().call, "id: 1\ndata: x\n\n", now);
    }

    [[nodiscard]] bool is_paused() const { return port.paused.contains(port.calls.back().call); }

    void congest()
    {
        port.congested.insert(1);
        it.on_part(port.calls.back().call, "id: 2\ndata: x\n\n", now);
    }
};

BOOST_FIXTURE_TEST_SUITE(slow_caller_suite, slow_caller_fixture)

BOOST_AUTO_TEST_CASE(an_endpoint_waits_while_its_caller_takes_no_more)
{
    BOOST_TEST(!is_paused());
    congest();
    BOOST_TEST(is_paused());
    port.congested.clear();
    it.on_caller_drained(1);
    BOOST_TEST(!is_paused());
    it.on_part(port.calls.back().call, "id: 3\ndata: x\n\n", now);
    it.on_end(port.calls.back().call, call_outcome::complete, now);
    BOOST_TEST(answer(1).is_ended);
}

BOOST_AUTO_TEST_CASE(a_stream_that_goes_on_elsewhere_waits_for_its_caller_there)
{
    congest();
    const auto first = port.calls.back().call;
    it.on_end(first, call_outcome::broken, now);
    BOOST_REQUIRE(port.calls.back().call != first);
    BOOST_TEST(is_paused());
    it.on_caller_drained(1);
    BOOST_TEST(!is_paused());
}

BOOST_AUTO_TEST_CASE(a_stream_whose_caller_takes_no_more_ends_at_its_deadline)
{
    congest();
    now += std::chrono::seconds{9};
    it.on_timer(now);
    BOOST_TEST(answer(1).is_aborted);
    BOOST_TEST(port.cancelled.contains(port.calls.back().call));
    it.on_caller_drained(1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
