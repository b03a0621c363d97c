#include "registry_follower_fixture.hpp"

namespace hemlocknotch::daemon {
namespace {

// Outages and restores of the store, lost leases, and what other gateways tell of them.
BOOST_FIXTURE_TEST_SUITE(registry_follower_outages_suite, follower_fixture)

BOOST_AUTO_TEST_CASE(a_removal_takes_effect_at_once_where_only_this_gateway_lost_the_store)
{
    start(first);
    start(second);
    BOOST_REQUIRE(wait_for_call(second));
    second.client.answer(registry_status::refused);
    now += std::chrono::seconds{1};
    second.follower.apply_update(read_and_publish(first, {removed("a", 7)}, 7));
    BOOST_REQUIRE_EQUAL(second.view.endpoints().size(), 1U);
    BOOST_TEST(second.view.endpoints()[0].instance == "b");
}

BOOST_AUTO_TEST_CASE(a_gateway_that_missed_an_outage_holds_back_removals_as_long_as_the_reader)
{
    start(first);
    start(second);
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::unknown);
    now += std::chrono::seconds{4};
    second.follower.apply_update(read_and_publish(first, {removed("a", 7)}, 7));
    BOOST_TEST(second.view.endpoints().size() == 2U);
    now += registry_view::reregistration_grace;
    second.view.on_timer(now);
    BOOST_TEST(second.view.endpoints().size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_cut_of_one_gateway_holds_back_no_removal_at_the_others)
{
    auto update = cut_off_and_return(first, second, {removed("a", 7)}, 7);
    update.grace = registry_view::reregistration_grace;
    second.follower.apply_update(update);
    BOOST_REQUIRE_EQUAL(second.view.endpoints().size(), 1U);
    BOOST_TEST(second.view.endpoints()[0].instance == "b");
}

BOOST_AUTO_TEST_CASE(
    a_gateway_that_was_cut_off_holds_back_no_removal_once_another_says_that_the_store_was_there)
{
    second.follower.apply_update(cut_off_and_return(first, second, {removed("a", 7)}, 7));
    now += std::chrono::milliseconds{50};
    first.follower.apply_update(read_and_publish(second, {}, 7));
    BOOST_REQUIRE_EQUAL(first.view.endpoints().size(), 1U);
    BOOST_TEST(first.view.endpoints()[0].instance == "b");
}

BOOST_AUTO_TEST_CASE(registers_again_when_its_registration_is_missing_though_its_lease_holds)
{
    start(first);
    first.client.answer_join(registry_status::ok, 7, 0);
    now += std::chrono::seconds{10};
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::ok, {}, 6);
    BOOST_REQUIRE(loop.run_until([&] { return first.client.has_pending_renewal(); }));
    first.client.answer_renewal(registry_status::ok, 0);
    BOOST_TEST(loop.run_until([&] { return first.client.joins == 2; }));
}

BOOST_AUTO_TEST_CASE(neither_renews_nor_ends_a_lease_of_an_earlier_era)
{
    first.follower.start();
    first.client.answer(registry_status::ok, {written("a", 5)}, 6, 1);
    first.client.answer_join(registry_status::ok, 7, 1);
    BOOST_REQUIRE(loop.run_until([&] { return first.client.has_pending_renewal(); }));
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::history_lost, {}, 0, 2);
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::ok, {written("a", 5)}, 5, 2);
    BOOST_TEST(first.view.era() == 2U);
    // Renewed in the earlier era, answered in the new one.
    first.client.answer_renewal(registry_status::ok, 2);
    BOOST_REQUIRE(loop.run_until([&] { return first.client.joins == 2; }));
    first.follower.leave();
    BOOST_TEST(first.client.ended_leases.empty());
}

BOOST_AUTO_TEST_CASE(an_answer_of_an_earlier_era_is_dropped)
{
    first.follower.start();
    first.client.answer(registry_status::ok, {written("a", 5)}, 6, 2);
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::ok, {written("a", 90), written("b", 95)}, 99, 1);
    BOOST_TEST(first.view.endpoints().size() == 1U);
    BOOST_TEST((first.view.position() == registry_position{2, 6}));
}

BOOST_AUTO_TEST_CASE(a_watch_that_a_restored_registry_answers_is_followed_by_a_full_read)
{
    first.follower.start();
    first.client.answer(registry_status::ok, {written("a", 5), written("b", 6)}, 6, 1);
    BOOST_REQUIRE(wait_for_call(first));
    const auto reads = first.client.reads;
    // The restored registry has reached the revision of the watch again, and knows nothing of b.
    first.client.answer(registry_status::ok, {written("c", 7)}, 7, 2);
    BOOST_REQUIRE(wait_for_call(first));
    BOOST_TEST(first.client.reads == reads + 1);
    first.client.answer(registry_status::ok, {written("a", 5), written("c", 7)}, 7, 2);
    now += registry_view::reregistration_grace;
    first.view.on_timer(now);
    BOOST_REQUIRE_EQUAL(first.view.endpoints().size(), 2U);
    BOOST_TEST(first.view.endpoints()[1].instance == "c");
    // The others learn of it.
    BOOST_REQUIRE(!first.published.empty());
    BOOST_TEST(first.published.back().era == 2U);
    second.follower.start();
    second.client.answer(registry_status::ok, {written("a", 5), written("b", 6)}, 6, 1);
    const auto before = second.client.reads;
    second.follower.apply_update(first.published.back());
    BOOST_TEST(loop.run_until([&] { return second.client.reads == before + 1; }));
}

BOOST_AUTO_TEST_CASE(an_update_of_an_earlier_era_is_ignored)
{
    first.follower.start();
    first.client.answer(registry_status::ok, {written("a", 5)}, 6, 2);
    registry_update update;
    update.gateway = "g2";
    update.era = 1;
    update.from_revision = 6;
    update.to_revision = 9;
    update.changes = {{"e/a", 9, true, ""}};
    first.follower.apply_update(update);
    BOOST_TEST(first.view.endpoints().size() == 1U);
    BOOST_TEST(first.view.revision() == 6U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_the_store_rejects_takes_the_new_era_from_a_snapshot)
{
    first.follower.start();
    first.client.answer(registry_status::ok, {written("a", 90)}, 99, 1);
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::refused);
    registry_update update;
    update.gateway = "g2";
    update.era = 2;
    update.from_revision = 5;
    update.to_revision = 5;
    const auto fetches = first.fetches;
    first.follower.apply_update(update);
    BOOST_TEST(first.fetches == fetches + 1);
    update.changes = {{"e/b", 4, false, "b"}};
    first.follower.apply_snapshot(update);
    BOOST_TEST((first.view.position() == registry_position{2, 5}));
    BOOST_TEST(first.follower.counters().restores == 1U);
    // A snapshot of the earlier era arrives late.
    update.era = 1;
    update.to_revision = 200;
    first.follower.apply_snapshot(update);
    BOOST_TEST((first.view.position() == registry_position{2, 5}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
