#include <hemlocknotch/gateway/least_loaded_placement.hpp>
#include <hemlocknotch/gateway/random_placement.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// A plain service before gateways that know each other's load as of their last reports.
struct plain_service_load {
    std::size_t gateways = 0;
    std::size_t endpoints = 0;
    unsigned slots = 6;
    /// Requests that an endpoint queues beyond its slots; it rejects further ones.
    unsigned queued = 2;
    double work_s = 0.06;
    double requests_per_s = 0.0;
    /// Time between two reports of a gateway.
    double report_interval_s = 0.0;
    double length_s = 60.0;
};

/// Plays the load with `policy`. Returns the part of all requests that an endpoint rejects, or that find
/// none.
double play_rejected(const plain_service_load& load, const placement_policy& policy, std::uint64_t seed)
{
    struct completion {
        double at;
        std::size_t gateway;
        std::size_t endpoint;

        bool operator>(const completion& other) const { return at > other.at; }
    };

    std::mt19937_64 random{seed};
    std::exponential_distribution<double> gap{load.requests_per_s};
    std::vector<std::vector<unsigned>> own(load.gateways, std::vector<unsigned>(load.endpoints));
    auto reported = own;
    std::vector<unsigned> reported_total(load.endpoints);
    std::vector<double> next_report(load.gateways);
    for (auto& it : next_report) {
        it = std::uniform_real_distribution<double>{0.0, load.report_interval_s}(random);
    }
    std::vector<std::priority_queue<double, std::vector<double>, std::greater<>>> free_at(load.endpoints);
    std::vector<unsigned> present(load.endpoints);
    std::priority_queue<completion, std::vector<completion>, std::greater<>> running;
    std::size_t arrivals = 0;
    std::size_t rejected = 0;
    for (double now = gap(random); now < load.length_s; now += gap(random)) {
        while (!running.empty() && running.top().at <= now) {
            const auto done = running.top();
            running.pop();
            --own[done.gateway][done.endpoint];
            --present[done.endpoint];
        }
        for (std::size_t g = 0; g < load.gateways; ++g) {
            if (next_report[g] > now) {
                continue;
            }
            next_report[g] += load.report_interval_s;
            for (std::size_t e = 0; e < load.endpoints; ++e) {
                reported_total[e] += own[g][e] - reported[g][e];
            }
            reported[g] = own[g];
        }
        ++arrivals;
        const auto g = static_cast<std::size_t>(random() % load.gateways);
        std::vector<endpoint_load> loads(load.endpoints);
        for (std::size_t e = 0; e < load.endpoints; ++e) {
            loads[e].is_usable = true;
            loads[e].running = own[g][e] + reported_total[e] - reported[g][e];
            loads[e].slots = load.slots;
        }
        bool is_accepted = false;
        constexpr int attempts = 2;
        for (int attempt = 0; attempt < attempts && !is_accepted; ++attempt) {
            placement_request request;
            request.draw = random();
            const auto chosen = policy.choose(request, loads);
            if (!chosen.endpoint) {
                break;
            }
            const auto e = *chosen.endpoint;
            loads[e].is_usable = false;
            if (present[e] >= load.slots + load.queued) {
                continue;
            }
            is_accepted = true;
            auto& slots = free_at[e];
            auto begin = now;
            if (slots.size() >= load.slots) {
                begin = std::max(now, slots.top());
                slots.pop();
            }
            slots.push(begin + load.work_s);
            running.push({begin + load.work_s, g, e});
            ++own[g][e];
            ++present[e];
        }
        rejected += is_accepted ? 0 : 1;
    }
    return static_cast<double>(rejected) / static_cast<double>(arrivals);
}

/// Target: below this part of the requests while less than two thirds of the slots are in use.
constexpr double max_rejected = 0.01;

BOOST_AUTO_TEST_SUITE(random_placement_suite)

BOOST_AUTO_TEST_CASE(chooses_only_usable_endpoints_with_room)
{
    const random_placement it;
    std::vector<endpoint_load> loads(3);
    for (auto& load : loads) {
        load.slots = 4;
    }
    placement_request request;
    BOOST_TEST(!it.choose(request, loads).has_candidates);
    loads[1].is_usable = true;
    loads[2].is_usable = true;
    loads[2].running = 4 + random_placement::requests_ahead;
    for (request.draw = 0; request.draw < 20; ++request.draw) {
        BOOST_TEST((it.choose(request, loads).endpoint == std::size_t{1}));
    }
    loads[1].running = loads[2].running;
    BOOST_TEST(it.choose(request, loads).has_candidates);
    BOOST_TEST(!it.choose(request, loads).endpoint);
    // Each of two about as often.
    loads[1].running = 3;
    loads[2].running = 1;
    std::size_t first = 0;
    for (request.draw = 0; request.draw < 20; ++request.draw) {
        first += it.choose(request, loads).endpoint == std::size_t{1} ? 1 : 0;
    }
    BOOST_TEST(first == 10U);
}

BOOST_AUTO_TEST_CASE(a_fleet_with_old_loads_rejects_almost_nothing_while_capacity_is_idle)
{
    // Room for 800 requests a second.
    const plain_service_load load{
        .gateways = 103, .endpoints = 8, .requests_per_s = 325.0, .report_interval_s = 1.2};
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        BOOST_TEST(play_rejected(load, random_placement{}, seed) < max_rejected);
        // The baseline misses the same target.
        BOOST_TEST(play_rejected(load, least_loaded_placement{}, seed) >= max_rejected);
    }
}

BOOST_AUTO_TEST_CASE(a_small_fleet_with_fresh_loads_rejects_almost_nothing_either)
{
    const plain_service_load load{
        .gateways = 4, .endpoints = 3, .requests_per_s = 180.0, .report_interval_s = 0.1};
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        BOOST_TEST(play_rejected(load, random_placement{}, seed) < max_rejected);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
