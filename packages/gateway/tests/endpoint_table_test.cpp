#include <hemlocknotch/core/rendezvous.hpp>
#include <hemlocknotch/gateway/endpoint_table.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

struct table_fixture {
    void set_endpoints(std::uint64_t started_at_ms)
    {
        records[0].started_at_ms = started_at_ms;
        table.set_endpoints(records, configuration, 3, instant{});
    }

    void report(std::string_view gateway, double tokens_a, double tokens_b)
    {
        const std::vector<reported_endpoint_load> loads{
            {"a", {tokens_a, 1, 0.0}}, {"unknown", {1.0, 1, 0.0}}, {"b", {tokens_b, 2, 0.0}}};
        table.set_peer_load(gateway, loads);
    }

    [[nodiscard]] const peer_load& others_at(std::string_view instance)
    {
        return table.find(instance)->peers_total;
    }

    std::vector<endpoint_record> records{create_endpoint("a", "model"), create_endpoint("b", "model")};
    routing_configuration configuration{create_document()};
    endpoint_table table{1, "own"};
};

BOOST_FIXTURE_TEST_SUITE(endpoint_table_suite, table_fixture)

BOOST_AUTO_TEST_CASE(adds_up_the_last_report_of_each_gateway)
{
    set_endpoints(1);
    report("g1", 10.0, 20.0);
    report("g2", 1.0, 2.0);
    report("g1", 30.0, 40.0);
    BOOST_TEST(others_at("a").pending_tokens == 31.0);
    BOOST_TEST(others_at("a").running == 2U);
    BOOST_TEST(others_at("b").pending_tokens == 42.0);
    BOOST_TEST(others_at("b").running == 4U);
    table.set_peer_load("g1", {});
    BOOST_TEST(others_at("a").pending_tokens == 1.0);
    table.set_peer_load("g2", {});
    BOOST_TEST(others_at("a").pending_tokens == 0.0);
    BOOST_TEST(others_at("a").running == 0U);
}

BOOST_AUTO_TEST_CASE(forgets_the_reported_load_of_an_endpoint_that_has_started_anew)
{
    set_endpoints(1);
    report("g1", 10.0, 20.0);
    set_endpoints(2);
    BOOST_TEST(others_at("a").pending_tokens == 0.0);
    BOOST_TEST(others_at("b").pending_tokens == 20.0);
    report("g1", 1.0, 2.0);
    BOOST_TEST(others_at("a").pending_tokens == 1.0);
    BOOST_TEST(others_at("b").pending_tokens == 2.0);
    table.set_endpoints({}, configuration, 3, instant{});
    table.set_peer_load("g1", {});
    set_endpoints(2);
    BOOST_TEST(others_at("b").pending_tokens == 0.0);
}

BOOST_AUTO_TEST_CASE(returns_the_usable_endpoints_that_are_first_for_a_part)
{
    constexpr std::uint64_t part = 7;
    records.clear();
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (int n = 0; n < 20; ++n) {
        records.push_back(create_endpoint("e" + std::to_string(n), "model"));
        records.back().is_draining = n % 4 == 0;
        if (!records.back().is_draining) {
            order.emplace_back(rendezvous_weight(part, records.back().instance), records.back().instance);
        }
    }
    table.set_endpoints(records, configuration, 3, instant{});
    BOOST_TEST(table.endpoint_count("model") == records.size());
    std::ranges::sort(order, std::greater{});
    const std::vector<std::string> excluded{order.front().second};
    std::vector<endpoint_state*> states;
    const auto loads = table.loads_of(
        "model", instant{}, {.excluded = excluded, .shared_parts = {}, .limit = 5, .key = part}, states);
    BOOST_REQUIRE(loads.size() == 5U);
    for (std::size_t n = 0; n < loads.size(); ++n) {
        BOOST_TEST(loads[n].instance == order[n + 1].second);
        BOOST_TEST(loads[n].is_usable);
        BOOST_TEST(states[n]->record.instance == loads[n].instance);
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_does_not_rank_all_endpoints_at_each_offer)
{
    records.clear();
    for (int n = 0; n < 180; ++n) {
        records.push_back(create_endpoint("e" + std::to_string(n), "model"));
    }
    table.set_endpoints(records, configuration, 3, instant{});
    endpoint_ranking ranking;
    std::vector<endpoint_state*> states;
    const auto names = [&](endpoint_ranking* kept) {
        std::vector<std::string> out;
        const endpoint_query query{.excluded = {}, .shared_parts = {}, .limit = 5, .key = 7, .ranking = kept};
        for (const auto& it : table.loads_of("model", instant{}, query, states)) {
            out.emplace_back(it.instance);
        }
        return out;
    };
    const auto first = names(&ranking);
    for (int n = 0; n < 100; ++n) {
        BOOST_TEST(names(&ranking) == first);
    }
    BOOST_TEST(table.rankings() == 1U);
    // The same endpoints as without a kept ranking, whatever becomes of those that were ranked first.
    for (int n = 0; n < 40; ++n) {
        table.note_pause(*states.front(), std::chrono::seconds{1}, instant{});
        BOOST_TEST(names(&ranking) == names(nullptr));
    }
    records.erase(records.begin() + 90, records.end());
    table.set_endpoints(records, configuration, 3, instant{});
    BOOST_TEST(names(&ranking) == names(nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
