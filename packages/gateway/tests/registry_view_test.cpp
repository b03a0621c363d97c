#include <hemlocknotch/gateway/registry_view.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

registry_change written(const std::string& key, std::uint64_t revision, registry_item item)
{
    return {key, revision, false, std::move(item), ""};
}

registry_change removed(const std::string& key, std::uint64_t revision)
{
    return {key, revision, true, unreadable_item{}, ""};
}

registry_change endpoint(const std::string& name, std::uint64_t revision, bool is_draining = false)
{
    auto record = create_endpoint(name, "plain");
    record.is_draining = is_draining;
    return written("e/" + name, revision, endpoint_item{record});
}

registry_change configuration(std::uint64_t version, std::uint64_t revision)
{
    return written(
        "c", revision,
        configuration_item{std::make_shared<const routing_configuration>(create_document(version))});
}

BOOST_AUTO_TEST_SUITE(registry_view_suite)

const instant start{std::chrono::seconds{50}};

BOOST_AUTO_TEST_CASE(ignores_older_revisions)
{
    registry_view it;
    std::vector<registry_change> all{configuration(4, 10), endpoint("a", 11)};
    it.replace(all, 12, start);
    BOOST_TEST(it.configuration()->version() == 4U);
    std::vector<registry_change> older{configuration(3, 9), removed("e/a", 10)};
    const auto difference = it.apply(older, 11, start);
    BOOST_TEST(!difference.has_configuration);
    BOOST_TEST(!difference.has_endpoints);
    BOOST_TEST(it.configuration()->version() == 4U);
    BOOST_TEST(it.endpoints().size() == 1U);
    BOOST_TEST(it.revision() == 12U);
}

BOOST_AUTO_TEST_CASE(an_older_report_does_not_restore_a_removed_key)
{
    registry_view it;
    it.apply(std::vector{endpoint("a", 5)}, 5, start);
    it.apply(std::vector{removed("e/a", 7)}, 7, start);
    it.apply(std::vector{endpoint("a", 6)}, 6, start);
    BOOST_TEST(it.endpoints().empty());
    it.apply(std::vector{endpoint("a", 8)}, 8, start);
    BOOST_TEST(it.endpoints().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_key_that_is_missing_in_a_full_read_is_removed)
{
    registry_view it;
    it.apply(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    const auto difference = it.replace(std::vector{endpoint("b", 6)}, 9, start);
    BOOST_TEST(difference.has_endpoints);
    BOOST_TEST(it.endpoints().size() == 1U);
}

BOOST_AUTO_TEST_CASE(endpoints_that_lapsed_in_an_outage_are_retained_for_the_grace_time)
{
    registry_view it;
    it.apply(std::vector{endpoint("a", 5), endpoint("b", 6), endpoint("c", 7, true)}, 7, start);
    it.on_registry_recovered(start);
    it.replace({}, 20, start);
    // The draining endpoint is removed at once.
    BOOST_TEST(it.endpoints().size() == 2U);
    it.apply(std::vector{endpoint("b", 21)}, 21, start);
    const auto due = it.next_due();
    BOOST_TEST((due == start + registry_view::reregistration_grace));
    BOOST_TEST(it.on_timer(due).has_endpoints);
    BOOST_REQUIRE_EQUAL(it.endpoints().size(), 1U);
    BOOST_TEST(it.endpoints()[0].instance == "b");
    it.apply(std::vector{removed("e/b", 30)}, 30, due);
    BOOST_TEST(it.endpoints().empty());
}

BOOST_AUTO_TEST_CASE(an_unreadable_entry_removes_its_endpoint)
{
    registry_view it;
    it.apply(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    const auto difference = it.apply(std::vector{written("e/a", 8, unreadable_item{"no number"})}, 8, start);
    BOOST_TEST(difference.has_endpoints);
    BOOST_TEST(it.endpoints().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_snapshot_leaves_out_removed_endpoints_in_their_grace_time)
{
    registry_view it;
    it.apply(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    it.on_registry_recovered(start);
    it.apply(std::vector{removed("e/a", 7)}, 7, start);
    BOOST_TEST(it.endpoints().size() == 2U);
    const auto snapshot = it.snapshot();
    BOOST_REQUIRE_EQUAL(snapshot.size(), 1U);
    BOOST_TEST(snapshot[0].key == "e/b");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
