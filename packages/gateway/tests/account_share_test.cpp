#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// A router whose model endpoints process 3,000 tokens a second together, and that hears one other gateway.
struct shares_fixture : router_fixture {
    shares_fixture()
    {
        auto document = create_document(2);
        document.tokens_per_second = 3000.0;
        it.set_configuration(std::make_shared<routing_configuration>(std::move(document)), now);
    }

    void report(const std::vector<account_report>& accounts,
                const std::vector<endpoint_report>& endpoints = {})
    {
        fleet_report out;
        out.gateway = "other";
        out.accounts = accounts;
        out.endpoints = endpoints;
        it.apply_report(out, now);
    }

    void set_stated_rate(double tokens_per_second)
    {
        auto document = create_document(3);
        document.tokens_per_second = tokens_per_second;
        it.set_configuration(std::make_shared<routing_configuration>(std::move(document)), now);
    }

    /// Sends a request whose prompt begins with the shared part `part` of `tokens` tokens.
    void send_request_with_part(exchange_id id, std::uint64_t part, std::uint64_t tokens = 600,
                                const std::string& key = "key-a")
    {
        auto request = *create_request("id-" + std::to_string(id), "/stream/", key);
        request.fields.prompt = {{part, tokens}, {1000 + part, 400}};
        it.on_request(id, std::make_shared<const caller_request>(std::move(request)), now);
    }

    [[nodiscard]] double served_rate(std::string_view account) const
    {
        for (const auto& reported : it.create_report(now).accounts) {
            if (reported.account == account) {
                return reported.rates.served;
            }
        }
        return 0.0;
    }
};

BOOST_AUTO_TEST_SUITE(account_share_suite)

BOOST_FIXTURE_TEST_CASE(an_account_is_not_charged_for_requests_that_endpoints_reject, shares_fixture)
{
    send_request(1, "/stream/");
    const auto sent = served_rate("a");
    BOOST_TEST(sent > 0.0);
    reject(port.calls.back());
    BOOST_REQUIRE(port.calls.size() == 2U);
    // It was sent to a second endpoint, and counts once.
    BOOST_TEST(served_rate("a") == sent, boost::test_tools::tolerance(1e-6));
}

BOOST_FIXTURE_TEST_CASE(an_account_is_not_charged_for_calls_that_break_before_the_first_event, shares_fixture)
{
    send_request(1, "/stream/");
    BOOST_TEST(served_rate("a") > 0.0);
    now += milliseconds{700};
    it.on_end(port.calls.back().call, call_outcome::broken, now);
    BOOST_TEST(served_rate("a") < 1e-6);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_may_not_wait_is_sent_where_there_is_room_though_others_wait,
                        shares_fixture)
{
    set_stated_rate(30'000.0);
    send_request_with_part(1, 1, 6000, "key-b");
    report({{"model", "a", {30'000.0, 30'000.0}}, {"model", "c", {30'000.0, 3000.0}}},
           {{port.calls.back().instance, 1e6, 1, 0.0}});
    send_request_with_part(2, 1, 6000, "key-b");
    BOOST_REQUIRE(port.calls.size() == 1U);
    now += milliseconds{100};
    // Account a is over its share. Most of these prompts belong at other endpoints than the full one.
    for (exchange_id id = 3; id < 35; ++id) {
        send_request_with_part(id, 100 + id);
    }
    BOOST_TEST(port.calls.size() > 1U);
}

BOOST_FIXTURE_TEST_CASE(an_account_that_asks_for_many_shares_gets_little_more_than_one_whatever_room_there_is,
                        shares_fixture)
{
    constexpr std::size_t requests = 400;
    constexpr double stated = 3e6;
    constexpr double asked = 1e8;
    set_stated_rate(stated);
    report({{"model", "a", {asked, 0.0}}, {"model", "b", {asked, 0.0}}});
    for (exchange_id id = 1; id <= requests; ++id) {
        send_request_with_part(id, id);
    }
    // Two accounts divide one and a quarter of the stated rate; each is admitted up to one and a half shares.
    const auto admitted = 1.5 * 1.25 * stated / 2.0 / asked;
    BOOST_TEST(static_cast<double>(port.calls.size()) <= 2.0 * admitted * requests);
    BOOST_TEST(port.calls.size() > 0U);
}

BOOST_FIXTURE_TEST_CASE(an_account_within_its_share_is_not_refused_for_what_others_ask, shares_fixture)
{
    set_stated_rate(3e6);
    report({{"model", "a", {1e8, 0.0}}});
    for (exchange_id id = 1; id <= 20; ++id) {
        it.on_request(id, create_request("id-" + std::to_string(id), "/stream/", "key-b"), now);
    }
    BOOST_TEST(port.calls.size() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
