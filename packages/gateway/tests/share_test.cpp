#include <hemlocknotch/gateway/affinity_placement.hpp>
#include <hemlocknotch/gateway/endpoint_table.hpp>
#include <hemlocknotch/gateway/fleet_report.hpp>
#include <hemlocknotch/gateway/least_loaded_placement.hpp>
#include <hemlocknotch/gateway/share_meter.hpp>
#include <hemlocknotch/gateway/waiting_queue.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

std::vector<endpoint_load> create_loads(const std::vector<std::string>& names)
{
    std::vector<endpoint_load> out;
    out.reserve(names.size());
    for (const auto& it : names) {
        out.push_back({it, true, 0.0, 0, 0.0, 8});
    }
    return out;
}

BOOST_AUTO_TEST_SUITE(share_suite)

BOOST_AUTO_TEST_CASE(fair_level_is_the_max_min_share)
{
    share_meter it;
    const instant now{std::chrono::seconds{10}};
    const auto seconds = std::chrono::duration<double>(share_meter::time_constant).count();
    it.note_requested("small", 10.0 * seconds, now);
    it.note_requested("middle", 50.0 * seconds, now);
    it.set_reported("other", std::vector<reported_rates>{{"large", {900.0, 0.0}}});
    // A capacity of 100 for three accounts: the small one takes 10, the others 45 each.
    BOOST_TEST(it.fair_level(100.0, now) == 45.0, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(it.fair_level(1000.0, now) == std::numeric_limits<double>::max());
}

BOOST_AUTO_TEST_CASE(rates_decay_within_three_time_constants)
{
    share_meter it;
    instant now{std::chrono::seconds{10}};
    it.note_served("a", 3000.0, now);
    const auto before = it.rates_of("a", now).served;
    now += share_meter::time_constant * 3;
    BOOST_TEST(it.rates_of("a", now).served < before * 0.06);
}

BOOST_AUTO_TEST_CASE(rates_add_up_over_gateways_that_report_at_different_times)
{
    share_meter it;
    instant now{std::chrono::seconds{10}};
    const auto seconds = std::chrono::duration<double>(share_meter::time_constant).count();
    const auto report = [&](const std::string& gateway, const account_rates& rates) {
        it.set_reported(gateway, std::vector<reported_rates>{{"a", rates}});
    };
    report("g1", {100.0, 10.0});
    now += milliseconds{300};
    report("g2", {40.0, 4.0});
    it.note_requested("a", 60.0 * seconds, now);
    BOOST_TEST(it.rates_of("a", now).requested == 200.0, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(it.rates_of("a", now).served == 14.0, boost::test_tools::tolerance(1e-6));
    now += milliseconds{300};
    report("g1", {20.0, 2.0});
    // Only what was counted here decays; the others send what is left of theirs.
    const auto decay = std::exp(-0.3 / seconds);
    BOOST_TEST(it.rates_of("a", now).requested == 60.0 + 60.0 * decay, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(it.rates_of("a", now).served == 6.0, boost::test_tools::tolerance(1e-6));
    it.set_reported("g1", {});
    it.set_reported("g2", std::vector<reported_rates>{{"b", {1.0, 1.0}}});
    BOOST_TEST(it.rates_of("a", now).served == 0.0);
    BOOST_TEST(it.rates_of("b", now).served == 1.0);
}

BOOST_AUTO_TEST_CASE(reported_rates_outlive_a_full_table_of_accounts)
{
    share_meter it;
    const instant now{std::chrono::seconds{10}};
    it.set_reported("g1", std::vector<reported_rates>{{"a", {1.0, 1.0}}, {"b", {2.0, 2.0}}});
    for (int n = 0; n < 20'001; ++n) {
        it.note_requested("account-" + std::to_string(n), 1.0, now);
    }
    it.set_reported("g1", std::vector<reported_rates>{{"a", {3.0, 3.0}}});
    BOOST_TEST(it.rates_of("a", now).served == 3.0);
    BOOST_TEST(it.rates_of("b", now).served == 0.0);
}

BOOST_AUTO_TEST_CASE(steady_rates_at_other_gateways_are_known_in_full_between_their_reports)
{
    constexpr std::size_t others = 102;
    share_meter it;
    const instant begin{std::chrono::seconds{10}};
    const auto interval = report_interval(others);
    for (std::size_t n = 0; n < others; ++n) {
        const auto sent_at = begin + interval * static_cast<int>(n) / static_cast<int>(others);
        it.note_served("a", 0.0, sent_at);
        it.set_reported("g" + std::to_string(n), std::vector<reported_rates>{{"a", {20.0, 10.0}}});
    }
    const auto rates = it.rates_of("a", begin + interval);
    // Each report holds until the next one.
    BOOST_TEST(rates.requested == 20.0 * others, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(rates.served == 10.0 * others, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(the_account_with_the_fewest_served_tokens_is_next)
{
    share_meter meter;
    waiting_queue queue{meter};
    const instant now{std::chrono::seconds{10}};
    meter.note_served("big", 1000.0, now);
    queue.add("big", {1, 100.0, 0, instant::max()});
    queue.add("small", {2, 100.0, 0, instant::max()});
    std::vector<exchange_id> order;
    queue.offer(now, 10, [&](const waiting_request& it) {
        order.push_back(it.exchange);
        return true;
    });
    BOOST_TEST((order == std::vector<exchange_id>{2, 1}));
    BOOST_TEST(queue.is_empty());
}

BOOST_AUTO_TEST_CASE(two_backlogged_accounts_are_served_equally_whatever_they_request)
{
    share_meter meter;
    waiting_queue queue{meter};
    instant now{std::chrono::seconds{10}};
    exchange_id next = 0;
    double served_a = 0.0;
    double served_b = 0.0;
    std::set<exchange_id> of_a;
    for (int round = 0; round < 400; ++round) {
        for (int n = 0; n < 5; ++n) {
            of_a.insert(++next);
            queue.add("a", {next, 100.0, 0, now + milliseconds{500}});
        }
        queue.add("b", {++next, 100.0, 0, now + milliseconds{500}});
        queue.offer(now, 1, [&](const waiting_request& it) {
            const auto is_a = of_a.contains(it.exchange);
            (is_a ? served_a : served_b) += it.cost;
            meter.note_served(is_a ? "a" : "b", it.cost, now);
            return true;
        });
        now += milliseconds{10};
        static_cast<void>(queue.take_expired(now));
    }
    // The difference stays within a few requests, although one account requests five times as much.
    BOOST_TEST(std::abs(served_a - served_b) <= 500.0);
}

BOOST_AUTO_TEST_CASE(requests_are_removed_when_their_send_time_has_passed)
{
    share_meter meter;
    waiting_queue queue{meter};
    const instant now{std::chrono::seconds{10}};
    queue.add("a", {1, 1.0, 0, now + milliseconds{10}});
    queue.add("a", {2, 1.0, 0, now + milliseconds{30}});
    BOOST_TEST((queue.next_expiry() == now + milliseconds{10}));
    BOOST_TEST((queue.take_expired(now + milliseconds{10}) == std::vector<exchange_id>{1}));
    BOOST_TEST(queue.remove(2));
    BOOST_TEST(!queue.remove(2));
    BOOST_TEST(queue.is_empty());
}

BOOST_AUTO_TEST_CASE(one_shared_part_is_placed_on_two_endpoints_in_a_fixed_order)
{
    const affinity_placement it{affinity_options{}};
    auto loads = create_loads({"a", "b", "c", "d", "e"});
    placement_request request;
    request.shared_part = 7;
    request.shared_tokens = 500.0;
    request.endpoint_tokens_per_second = 1000.0;
    const auto first = it.choose(request, loads);
    BOOST_REQUIRE(first.endpoint);
    std::set<std::size_t> used{*first.endpoint};
    loads[*first.endpoint].pending_tokens = 500.0;
    for (auto& load : loads) {
        load.cached_tokens = request.shared_tokens;
    }
    const auto second = it.choose(request, loads);
    BOOST_REQUIRE(second.endpoint);
    used.insert(*second.endpoint);
    for (std::size_t n = 0; n < loads.size(); ++n) {
        loads[n].cached_tokens = used.contains(n) ? request.shared_tokens : 0.0;
    }
    BOOST_TEST(used.size() == 2U);
    loads[*second.endpoint].pending_tokens = 10'000.0;
    BOOST_TEST((it.choose(request, loads).endpoint == first.endpoint));
    loads[*first.endpoint].pending_tokens = 10'000.0;
    // Both are full: the request waits rather than have its part read at a third endpoint.
    BOOST_TEST(!it.choose(request, loads).endpoint.has_value());
    BOOST_TEST(it.choose(request, loads).has_candidates);
    // A short part is not worth a wait. All gateways spill it to the same endpoints.
    request.shared_tokens = 10.0;
    const auto spilled = it.choose(request, loads);
    BOOST_REQUIRE(spilled.endpoint);
    BOOST_TEST(!used.contains(*spilled.endpoint));
    BOOST_TEST((it.choose(request, loads).endpoint == spilled.endpoint));
}

BOOST_AUTO_TEST_CASE(a_part_is_copied_only_when_the_wait_exceeds_the_cost_of_reading_it_again)
{
    const affinity_placement it{affinity_options{}};
    auto loads = create_loads({"a", "b", "c"});
    placement_request request;
    request.shared_part = 7;
    request.shared_tokens = 100.0;
    request.endpoint_tokens_per_second = 1000.0;
    const auto first = it.choose(request, loads).endpoint;
    BOOST_REQUIRE(first);
    auto& owner = loads[*first];
    owner.pending_tokens = 150.0;
    BOOST_TEST((it.choose(request, loads).endpoint == first));
    owner.pending_tokens = 250.0;
    const auto second = it.choose(request, loads).endpoint;
    BOOST_REQUIRE(second);
    BOOST_TEST((second != first));
    // Once the part is cached there, the less loaded of the two is chosen.
    loads[*second].cached_tokens = 100.0;
    owner.pending_tokens = 10.0;
    BOOST_TEST((it.choose(request, loads).endpoint == second));
    owner.pending_tokens = 0.0;
    loads[*second].pending_tokens = 10.0;
    BOOST_TEST((it.choose(request, loads).endpoint == first));
}

BOOST_AUTO_TEST_CASE(recently_sent_parts_count_as_cached)
{
    endpoint_state it{create_endpoint("e", "model")};
    const instant now{std::chrono::seconds{10}};
    const std::vector<prompt_part> parts{{1, 100}, {2, 50}};
    const std::vector<prompt_part> branch{{1, 100}, {3, 70}};
    const std::vector<prompt_part> other{{4, 100}, {2, 50}};
    it.note_sent(parts, now);
    BOOST_TEST(it.cached_tokens(parts, now) == 150.0);
    BOOST_TEST(it.cached_tokens(branch, now) == 100.0);
    // A part counts only if all parts before it are cached too.
    BOOST_TEST(it.cached_tokens(other, now) == 0.0);
    BOOST_TEST(it.cached_tokens(parts, now + std::chrono::minutes{1}) == 0.0);
}

BOOST_AUTO_TEST_CASE(accounts_over_their_share_leave_capacity_for_the_others)
{
    const affinity_placement it{affinity_options{}};
    auto loads = create_loads({"a"});
    placement_request request;
    request.endpoint_tokens_per_second = 1000.0;
    loads[0].pending_tokens = 300.0;
    request.account_share = share_state::over_stated_share;
    BOOST_TEST(!it.choose(request, loads).endpoint.has_value());
    request.account_share = share_state::within_share;
    BOOST_TEST(it.choose(request, loads).endpoint.has_value());
    loads[0].pending_tokens = 0.0;
    request.account_share = share_state::over_current_share;
    BOOST_TEST(it.choose(request, loads).endpoint.has_value());
    loads[0].tokens_per_second = 1000.0;
    BOOST_TEST(!it.choose(request, loads).endpoint.has_value());
}

BOOST_AUTO_TEST_CASE(plain_requests_go_to_the_endpoint_with_the_least_load)
{
    const least_loaded_placement it;
    auto loads = create_loads({"a", "b", "c"});
    loads[0].running = 4;
    loads[1].is_usable = false;
    BOOST_TEST((it.choose({}, loads).endpoint == 2U));
    loads[2].running = 10;
    BOOST_TEST((it.choose({}, loads).endpoint == 0U));
    loads[0].running = 10;
    BOOST_TEST(!it.choose({}, loads).endpoint.has_value());
    BOOST_TEST(it.choose({}, loads).has_candidates);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
