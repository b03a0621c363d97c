#include <hemlocknotch/gateway/fleet_report.hpp>

#include "gateway/peer_directory.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using gateway::member_item;

endpoint_address address_of(int n)
{
    return *endpoint_address::parse("127.0.0." + std::to_string(n) + ":7401");
}

struct directory_fixture {
    peer_directory it{"g1"};
    instant now{std::chrono::seconds{100}};
    std::vector<member_item> members{{"g1", address_of(1)}, {"g2", address_of(2)}};
};

BOOST_FIXTURE_TEST_SUITE(peer_directory_suite, directory_fixture)

BOOST_AUTO_TEST_CASE(counts_a_gateway_once_that_is_registered_and_heard)
{
    it.set_registered(members);
    BOOST_TEST(!it.note_heard("g2", address_of(2), now));
    BOOST_TEST(it.gateway_count() == 2U);
    BOOST_REQUIRE_EQUAL(it.addresses().size(), 1U);
    BOOST_TEST((it.addresses()[0] == address_of(2)));
}

BOOST_AUTO_TEST_CASE(keeps_a_gateway_whose_registration_lapsed_while_it_is_heard)
{
    it.set_registered(members);
    it.note_heard("g2", address_of(2), now);
    it.set_registered({});
    BOOST_TEST(it.gateway_count() == 2U);
    now += peer_directory::report_lifetime;
    const auto removed = it.remove_silent(now);
    BOOST_REQUIRE_EQUAL(removed.size(), 1U);
    BOOST_TEST(removed[0] == "g2");
    BOOST_TEST(it.gateway_count() == 1U);
    BOOST_TEST(it.addresses().empty());
}

BOOST_AUTO_TEST_CASE(a_report_of_an_unknown_gateway_makes_it_known)
{
    BOOST_TEST(it.note_heard("g3", address_of(3), now));
    BOOST_TEST(!it.note_heard("g3", address_of(3), now));
    BOOST_TEST(it.gateway_count() == 2U);
    BOOST_TEST(it.heard_count() == 1U);
}

BOOST_AUTO_TEST_CASE(gateways_that_report_as_seldom_as_a_large_fleet_does_are_not_silent)
{
    constexpr int others = 399;
    members.clear();
    for (int n = 0; n < others; ++n) {
        members.push_back({"m" + std::to_string(n), address_of(n % 250 + 1)});
    }
    it.set_registered(members);
    it.note_heard("m1", address_of(2), now);
    now += gateway::report_interval(others);
    BOOST_TEST(it.remove_silent(now).empty());
    now += gateway::report_interval(others) * peer_directory::lifetime_intervals;
    BOOST_TEST(it.remove_silent(now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
