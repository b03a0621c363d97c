#include <hemlocknotch/gateway/affinity_placement.hpp>
#include <hemlocknotch/gateway/endpoint_pace.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// Returns which of two endpoints with these pending tokens and paces gets a request; 2: none.
std::size_t chosen_of(double first_pending, double first_pace, double second_pending, double second_pace)
{
    const affinity_placement policy{affinity_options{}};
    const std::vector<endpoint_load> loads{{"e1", true, first_pending, 0, 0.0, 64, 0.0, first_pace},
                                           {"e2", true, second_pending, 0, 0.0, 64, 0.0, second_pace}};
    placement_request request;
    request.prompt_tokens = 1000.0;
    request.endpoint_tokens_per_second = 20'000.0;
    return policy.choose(request, loads).endpoint.value_or(2);
}

answer_fields fields_with(std::optional<unsigned> percent)
{
    answer_fields out;
    out.is_signed = true;
    out.load = reported_load{1, 0, 64, percent};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_pace_suite)

BOOST_AUTO_TEST_CASE(the_mean_follows_what_answers_state_and_is_forgotten)
{
    endpoint_pace it;
    instant now{std::chrono::seconds{100}};
    BOOST_TEST(it.value(now) == 1.0);
    it.note(2.0, now);
    BOOST_TEST(it.value(now) == 2.0);
    for (int n = 0; n < 100; ++n) {
        now += milliseconds{50};
        it.note(n % 2 == 0 ? 0.8 : 1.6, now);
    }
    BOOST_TEST(std::abs(it.value(now) - 1.2) < 0.1);
    BOOST_TEST(std::abs(it.value(now + std::chrono::minutes{1}) - 1.0) < 0.01);
}

/// Guards against a figure that keeps an endpoint out of use, or draws everything to it.
BOOST_AUTO_TEST_CASE(odd_figures_are_bounded)
{
    endpoint_pace it;
    instant now{std::chrono::seconds{100}};
    it.note(1e9, now);
    BOOST_TEST(it.value(now) == endpoint_pace::max_pace);
    it.note(0.0, now + std::chrono::minutes{1});
    BOOST_TEST(std::abs(it.value(now + std::chrono::minutes{1}) - endpoint_pace::min_pace) < 1e-6);
}

/// Guards against endpoints of uneven speed that get equal shares: the one that has read the prompt first
/// gets it, whatever waits there in tokens.
BOOST_AUTO_TEST_CASE(a_prompt_goes_where_it_is_read_first)
{
    BOOST_TEST(chosen_of(1000.0, 0.5, 1000.0, 2.0) == 0U);
    BOOST_TEST(chosen_of(1000.0, 2.0, 1000.0, 0.5) == 1U);
    // 2,000 tokens at half of the usual time are read before 1,000 at twice that.
    BOOST_TEST(chosen_of(1000.0, 0.5, 0.0, 2.0) == 0U);
    BOOST_TEST(chosen_of(0.0, 2.0, 1000.0, 0.5) == 1U);
    // 6,000 at half of it are not.
    BOOST_TEST(chosen_of(5000.0, 0.5, 0.0, 2.0) == 1U);
}

/// Guards against a slow endpoint that is sent as many tokens ahead as a usual one.
BOOST_AUTO_TEST_CASE(the_bound_on_tokens_ahead_is_one_on_time)
{
    const auto window = affinity_options{}.window_seconds * 20'000.0;
    BOOST_TEST(chosen_of(window * 0.6, 1.0, window * 2.0, 1.0) == 0U);
    BOOST_TEST(chosen_of(window * 0.6, 2.0, window * 2.0, 1.0) == 2U);
    BOOST_TEST(chosen_of(window * 1.5, 0.5, window * 2.0, 1.0) == 0U);
}

/// Guards against a pace that is read from answers and used by nobody.
BOOST_AUTO_TEST_CASE(the_router_takes_work_to_other_endpoints_than_one_that_states_to_be_slow)
{
    for (const auto percent : {100U, 1000U}) {
        router_fixture fixture;
        fixture.send_request(1, "/stream/x");
        const auto first = fixture.port.calls.back();
        fixture.it.on_head(first.call, {200, {}}, fields_with(percent), fixture.now);
        fixture.it.on_end(first.call, call_outcome::complete, fixture.now);
        fixture.send_request(2, "/stream/x");
        BOOST_TEST((fixture.port.calls.back().instance == first.instance) == (percent == 100));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
