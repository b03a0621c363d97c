#include <hemlocknotch/gateway/rollout_table.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

/// A router with two plain endpoints of a second version, to which the service is to move.
struct router_rollout_fixture : router_fixture {
    router_rollout_fixture()
    {
        order(rollout_phase::observing);
        for (const auto* name : {"n1", "n2"}) {
            records.push_back(create_endpoint(name, "plain"));
            records.back().software_version = "v2";
        }
        it.set_endpoints(records, now);
    }

    void order(rollout_phase phase)
    {
        const rollout_order ordered{"plain", "v2", std::chrono::seconds{60}};
        registered_rollouts registered{{1, 10}, {{ordered, 9}}, {}};
        if (phase != rollout_phase::observing) {
            registered.records.push_back({{ordered, {1, 9}, phase, std::chrono::seconds{1}, {}}, 10});
        }
        it.set_registered_rollouts(registered, now);
    }

    /// Sends a request, answers it after `time` at the present version and `new_time` at the new one, and
    /// returns the instance that it was sent to.
    std::string run_request(duration time, duration new_time, int new_status = 200)
    {
        port.calls.clear();
        send_request(++last_exchange, "/unsafe/x");
        BOOST_REQUIRE_EQUAL(port.calls.size(), 1U);
        const auto call = port.calls.front();
        const auto is_new = call.instance.starts_with('n');
        now += is_new ? new_time : time;
        head(call, is_new ? new_status : 200);
        it.on_end(call.call, call_outcome::complete, now);
        it.on_timer(now);
        return call.instance;
    }

    /// Runs requests and returns how many of them the new version got.
    int run_requests(int count, duration time, duration new_time, int new_status = 200)
    {
        int out = 0;
        for (int n = 0; n < count; ++n) {
            out += run_request(time, new_time, new_status).starts_with('n') ? 1 : 0;
        }
        return out;
    }

    [[nodiscard]] rollout_phase phase() { return it.rollouts().find("plain")->phase(); }

    exchange_id last_exchange = 0;
};

constexpr duration usual = milliseconds{10};

} // namespace

BOOST_FIXTURE_TEST_SUITE(router_rollout_suite, router_rollout_fixture)

BOOST_AUTO_TEST_CASE(a_new_version_gets_its_share_of_the_requests)
{
    BOOST_TEST(run_requests(1000, usual, usual) == 80);
    BOOST_TEST((phase() == rollout_phase::observing));
}

/// Guards against a version whose answers are right and several times slower.
BOOST_AUTO_TEST_CASE(a_version_that_is_three_times_slower_is_rolled_back)
{
    BOOST_TEST(run_requests(1000, usual, usual * 3) < 50);
    BOOST_TEST((phase() == rollout_phase::rolled_back));
}

BOOST_AUTO_TEST_CASE(a_version_whose_answers_fail_is_rolled_back)
{
    BOOST_TEST(run_requests(1000, usual, usual, 500) < 50);
    BOOST_TEST((phase() == rollout_phase::rolled_back));
    BOOST_TEST(run_requests(200, usual, usual) == 0);
}

/// Guards against new versions that get requests while nothing is known of them, where the rest is busy.
BOOST_AUTO_TEST_CASE(requests_wait_for_the_present_version_beyond_the_share)
{
    for (int n = 0; n < 40; ++n) {
        send_request(++last_exchange, "/unsafe/x");
    }
    const auto exposed = std::ranges::count_if(
        port.calls, [](const call_start& call) { return call.instance.starts_with('n'); });
    BOOST_TEST(exposed <= 3);
}

BOOST_AUTO_TEST_CASE(all_requests_go_to_a_completed_version)
{
    order(rollout_phase::completed);
    BOOST_TEST(run_requests(50, usual, usual) == 50);
}

BOOST_AUTO_TEST_CASE(no_request_goes_to_a_version_that_was_rolled_back)
{
    order(rollout_phase::rolled_back);
    BOOST_TEST(run_requests(50, usual, usual) == 0);
}

/// Guards against roll-outs of one service that change how others are served.
BOOST_AUTO_TEST_CASE(other_services_are_not_affected)
{
    for (int n = 0; n < 30; ++n) {
        send_request(++last_exchange, "/stream/x");
    }
    BOOST_TEST(std::ranges::all_of(port.calls,
                                   [](const call_start& call) { return call.instance.starts_with('m'); }));
    BOOST_TEST(it.rollouts().find("model") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
