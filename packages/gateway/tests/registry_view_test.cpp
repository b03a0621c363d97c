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

BOOST_AUTO_TEST_CASE(a_removal_that_is_held_back_becomes_final_once_the_outage_is_known_to_have_been_none)
{
    registry_view it;
    it.apply(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    it.on_registry_recovered(start);
    it.apply(std::vector{removed("e/a", 7)}, 7, start);
    it.limit_grace(start + std::chrono::seconds{1});
    BOOST_TEST((it.next_due() == start + registry_view::reregistration_grace));
    it.limit_grace(start - std::chrono::seconds{1});
    const auto due = start - std::chrono::seconds{1} + registry_view::reregistration_grace;
    BOOST_TEST((it.next_due() == due));
    it.on_timer(due);
    BOOST_REQUIRE_EQUAL(it.endpoints().size(), 1U);
    it.apply(std::vector{removed("e/b", 8)}, 8, due);
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

BOOST_AUTO_TEST_CASE(an_entry_that_stays_unreadable_is_not_reported_again)
{
    registry_view it;
    it.apply(std::vector{endpoint("a", 5)}, 5, start);
    const auto odd = [](std::uint64_t revision) {
        return std::vector{written("e/a", revision, unreadable_item{"number " + std::to_string(revision)})};
    };
    BOOST_TEST(it.significant_changes(odd(6)).size() == 1U);
    it.apply(odd(6), 6, start);
    BOOST_TEST(it.significant_changes(odd(7)).empty());
    BOOST_TEST(it.significant_changes(std::vector{endpoint("a", 8)}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_configuration_leaves_the_one_in_force_in_a_snapshot)
{
    registry_view it;
    auto change = configuration(3, 5);
    change.value = "version 3";
    it.apply(std::vector{change}, 5, start);
    it.apply(std::vector{written("c", 8, unreadable_item{"no version"})}, 8, start);
    BOOST_TEST(it.configuration_version() == 3U);
    BOOST_REQUIRE_EQUAL(it.snapshot().size(), 1U);
    BOOST_TEST(it.snapshot().front().value == "version 3");
    it.apply(std::vector{configuration(4, 9)}, 9, start);
    BOOST_TEST(it.configuration_version() == 4U);
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

/// Names of the endpoints that may get requests.
std::vector<std::string> used_endpoints(const registry_view& view)
{
    std::vector<std::string> out;
    for (const auto& it : view.endpoints()) {
        if (!it.is_draining) {
            out.push_back(it.instance);
        }
    }
    return out;
}

using names = std::vector<std::string>;

registry_change out_of_service(const std::string& domain, std::uint64_t revision)
{
    return written("o/" + domain, revision, out_of_service_item{domain});
}

BOOST_AUTO_TEST_CASE(revisions_of_a_new_era_are_not_compared_with_those_of_the_former)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{configuration(4, 10), endpoint("a", 90)}, 100, start);
    it.begin_era(2, start);
    it.replace(std::vector{configuration(4, 10), endpoint("a", 20, true)}, 30, start);
    BOOST_TEST((it.position() == registry_position{2, 30}));
    BOOST_TEST(used_endpoints(it).empty());
    it.apply(std::vector{configuration(5, 31), endpoint("b", 32)}, 32, start);
    BOOST_TEST(it.configuration_version() == 5U);
    BOOST_TEST((used_endpoints(it) == names{"b"}));
}

BOOST_AUTO_TEST_CASE(an_older_configuration_of_a_restored_registry_is_not_taken)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{configuration(4, 10)}, 10, start);
    it.begin_era(2, start);
    it.replace(std::vector{configuration(3, 5)}, 6, start);
    BOOST_TEST(it.configuration_version() == 4U);
    // Others learn the one in force.
    BOOST_REQUIRE_EQUAL(it.snapshot().size(), 1U);
    it.begin_era(3, start);
    it.replace({}, 1, start);
    BOOST_TEST(it.configuration_version() == 4U);
    it.apply(std::vector{configuration(6, 2)}, 2, start);
    BOOST_TEST(it.configuration_version() == 6U);
}

BOOST_AUTO_TEST_CASE(a_drain_that_the_copy_lacks_holds_until_the_endpoint_is_written_again)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    it.apply(std::vector{endpoint("a", 9, true)}, 9, start);
    it.begin_era(2, start);
    it.replace(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    BOOST_TEST((used_endpoints(it) == names{"b"}));
    BOOST_TEST(it.has_doubtful_endpoints());
    // Read once more, with nothing written since.
    it.replace(std::vector{endpoint("a", 5), endpoint("b", 6)}, 7, start);
    BOOST_TEST((used_endpoints(it) == names{"b"}));
    // A further restore in between loses nothing of this.
    it.begin_era(3, start);
    it.replace(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    BOOST_TEST((used_endpoints(it) == names{"b"}));
    it.apply(std::vector{endpoint("a", 8)}, 8, start);
    BOOST_TEST((used_endpoints(it) == names{"a", "b"}));
    BOOST_TEST(!it.has_doubtful_endpoints());
}

BOOST_AUTO_TEST_CASE(two_restores_without_a_read_between_them_lose_nothing)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    it.apply(std::vector{endpoint("a", 9, true), removed("e/b", 10)}, 10, start);
    it.begin_era(2, start);
    it.begin_era(3, start);
    it.replace(std::vector{endpoint("a", 5), endpoint("b", 6)}, 6, start);
    BOOST_TEST(used_endpoints(it).empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_is_missing_in_one_era_is_not_used_when_the_next_one_lists_it_again)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{endpoint("a", 9, true)}, 9, start);
    it.begin_era(2, start);
    it.replace({}, 10, start);
    it.begin_era(3, start);
    it.replace({}, 10, start);
    it.begin_era(4, start);
    it.replace(std::vector{endpoint("a", 5)}, 6, start);
    BOOST_TEST(it.endpoints().empty());
    it.apply(std::vector{endpoint("a", 7)}, 7, start);
    BOOST_TEST((used_endpoints(it) == names{"a"}));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_starts_anew_is_used_though_it_drained_before_the_restore)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{endpoint("a", 9, true)}, 9, start);
    it.begin_era(2, start);
    auto record = create_endpoint("a", "plain");
    record.started_at_ms = 7000;
    it.replace(std::vector{written("e/a", 8, endpoint_item{record})}, 8, start);
    BOOST_TEST((used_endpoints(it) == names{"a"}));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_had_left_before_the_restore_gets_nothing_until_it_is_written_again)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{endpoint("a", 5)}, 6, start);
    it.apply(std::vector{removed("e/a", 8)}, 8, start);
    it.begin_era(2, start);
    it.replace(std::vector{endpoint("a", 5)}, 6, start);
    BOOST_TEST(it.endpoints().empty());
    // The hash covers what the registry holds, so that gateways which know less do not read it again.
    registry_view other;
    other.begin_era(2, start);
    other.replace(std::vector{endpoint("a", 5)}, 6, start);
    BOOST_TEST(it.digest() == other.digest());
    // The same value, written again, is reported to the others.
    BOOST_TEST(it.significant_changes(std::vector{endpoint("a", 7)}).size() == 1U);
    it.replace(std::vector{endpoint("a", 7)}, 7, start);
    BOOST_TEST((used_endpoints(it) == names{"a"}));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_the_copy_lacks_keeps_the_grace_time)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{endpoint("a", 5), endpoint("b", 9)}, 9, start);
    it.begin_era(2, start);
    it.replace(std::vector{endpoint("a", 5)}, 6, start);
    BOOST_TEST((used_endpoints(it) == names{"a", "b"}));
    BOOST_TEST((it.next_due() == start + registry_view::reregistration_grace));
    it.on_timer(it.next_due());
    BOOST_TEST((used_endpoints(it) == names{"a"}));
}

BOOST_AUTO_TEST_CASE(a_failure_domain_that_the_copy_lacks_stays_out_of_service)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{out_of_service("d1", 5), out_of_service("d2", 6)}, 6, start);
    it.begin_era(2, start);
    it.replace({}, 3, start);
    BOOST_TEST(it.out_of_service().size() == 2U);
    // One is written again, and its removal then takes effect at once.
    it.apply(std::vector{out_of_service("d1", 4)}, 4, start);
    it.apply(std::vector{removed("o/d1", 5)}, 5, start);
    BOOST_TEST(it.out_of_service().size() == 1U);
    const auto due = it.next_due();
    BOOST_TEST((due == start + registry_view::out_of_service_hold));
    BOOST_TEST(it.on_timer(due).has_out_of_service);
    BOOST_TEST(it.out_of_service().empty());
}

BOOST_AUTO_TEST_CASE(each_restore_begins_the_time_anew_for_which_a_domain_stays_out_of_service)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{out_of_service("d1", 5)}, 6, start);
    it.begin_era(2, start);
    it.replace({}, 3, start);
    const auto later = start + std::chrono::seconds{8};
    it.begin_era(3, later);
    it.replace({}, 3, later);
    it.on_timer(start + registry_view::out_of_service_hold);
    BOOST_TEST(it.out_of_service().size() == 1U);
    it.on_timer(later + registry_view::out_of_service_hold);
    BOOST_TEST(it.out_of_service().empty());
}

BOOST_AUTO_TEST_CASE(a_record_that_a_domain_is_out_of_service_comes_back_with_the_copy)
{
    registry_view it;
    it.begin_era(1, start);
    it.replace(std::vector{out_of_service("d1", 5)}, 5, start);
    it.apply(std::vector{removed("o/d1", 9)}, 9, start);
    it.begin_era(2, start);
    it.replace(std::vector{out_of_service("d1", 5)}, 6, start);
    BOOST_TEST(it.out_of_service().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
