#include "gateway/report_exchange.hpp"
#include "registry_follower_fixture.hpp"

namespace hemlocknotch::daemon {
namespace {

BOOST_FIXTURE_TEST_SUITE(registry_follower_suite, follower_fixture)

BOOST_AUTO_TEST_CASE(publishes_a_registration_that_lapses_and_returns_in_one_answer)
{
    start(first);
    start(second);
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::unknown);
    now += std::chrono::seconds{4};
    BOOST_REQUIRE(wait_for_call(first));
    // Both registrations expired in the outage, and one of the endpoints has registered again with the same
    // values.
    first.client.answer(registry_status::ok, {removed("a", 7), removed("b", 8), written("a", 9)}, 9);
    BOOST_REQUIRE_EQUAL(first.published.size(), 1U);
    second.follower.apply_update(first.published[0]);
    now += std::chrono::seconds{3};
    first.view.on_timer(now);
    second.view.on_timer(now);
    BOOST_REQUIRE_EQUAL(first.view.endpoints().size(), 1U);
    BOOST_REQUIRE_EQUAL(second.view.endpoints().size(), 1U);
    BOOST_TEST(second.view.endpoints()[0].instance == "a");
}

BOOST_AUTO_TEST_CASE(does_not_publish_a_rewrite_of_an_unchanged_value)
{
    start(first);
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::ok, {written("a", 7), written("c", 8)}, 8);
    BOOST_REQUIRE_EQUAL(first.published.size(), 1U);
    BOOST_REQUIRE_EQUAL(first.published[0].changes.size(), 1U);
    BOOST_TEST(first.published[0].changes[0].key == "e/c");
}

BOOST_AUTO_TEST_CASE(reads_everything_when_its_digest_differs_from_the_senders)
{
    start(second);
    registry_update update;
    update.gateway = "g1";
    update.from_revision = 6;
    update.to_revision = 7;
    update.digest = 1;
    const auto before = second.client.reads;
    second.follower.apply_update(update);
    BOOST_REQUIRE(wait_for_call(second));
    BOOST_TEST(second.client.reads == before + 1);
}

BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_leaves_one_line_with_its_key_and_the_reason)
{
    start(first);
    BOOST_REQUIRE(wait_for_call(first));
    first.log_records.clear();
    first.client.answer(registry_status::ok,
                        {{"document", 7, false, unreadable_item{"no member 'version'"}, "{}"},
                         {"other", 8, false, unreadable_item{}, "x"},
                         {"e/c", 9, false, unreadable_item{"no address"}, "{}"}},
                        9);
    BOOST_REQUIRE_EQUAL(first.log_records.size(), 1U);
    const auto& line = first.log_records.front();
    BOOST_TEST(line.event == "registry-entry-unreadable");
    const std::vector<log_field> expected{
        {"key", "document"}, {"revision", "7"}, {"reason", "no member 'version'"}, {"entries", "2"}};
    BOOST_REQUIRE_EQUAL(line.fields.size(), expected.size());
    for (std::size_t n = 0; n < expected.size(); ++n) {
        BOOST_TEST(line.fields[n].name == expected[n].name);
        BOOST_TEST(line.fields[n].value == expected[n].value);
    }
    BOOST_TEST(first.view.endpoints().size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_stays_unreadable_is_logged_once)
{
    const auto odd = [](std::uint64_t revision) {
        return registry_change{"e/c", revision, false, unreadable_item{"no address"}, "{}"};
    };
    start(first);
    BOOST_REQUIRE(wait_for_call(first));
    first.log_records.clear();
    for (const auto& change :
         {odd(7), odd(8), written("c", 9), odd(10), odd(11), removed("c", 12), odd(13)}) {
        first.client.answer(registry_status::ok, {change}, change.revision);
        BOOST_REQUIRE(wait_for_call(first));
    }
    BOOST_TEST(std::ranges::count(first.log_records, "registry-entry-unreadable", &log_effect::event) == 3);
    // The same entries in a full read.
    first.client.answer(registry_status::history_lost, {}, 0);
    BOOST_REQUIRE(wait_for_call(first));
    first.client.answer(registry_status::ok, {written("a", 4), written("b", 5), odd(13)}, 13);
    BOOST_TEST(std::ranges::count(first.log_records, "registry-entry-unreadable", &log_effect::event) == 3);
}

BOOST_AUTO_TEST_CASE(ignores_an_update_after_a_gap_in_revisions)
{
    start(second);
    registry_update update;
    update.gateway = "g1";
    update.from_revision = 20;
    update.to_revision = 21;
    update.changes = {{"e/a", 21, true, ""}};
    second.follower.apply_update(update);
    BOOST_TEST(second.view.endpoints().size() == 2U);
    BOOST_TEST(second.view.revision() == 6U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_the_store_rejects_learns_changes_after_a_lost_update)
{
    start(first);
    start(second);
    // Lost on the way to the second gateway.
    read_and_publish(first, {written("c", 7)}, 7);
    BOOST_REQUIRE(wait_for_call(second));
    second.client.answer(registry_status::refused);
    second.follower.apply_update(read_and_publish(first, {removed("a", 8)}, 8));
    BOOST_TEST(second.fetches >= 1);
    second.follower.apply_snapshot(snapshot_of(first));
    BOOST_TEST(second.view.revision() == 8U);
    BOOST_REQUIRE_EQUAL(second.view.endpoints().size(), 2U);
    BOOST_TEST(second.view.endpoints()[0].instance == "b");
    BOOST_TEST(second.view.endpoints()[1].instance == "c");
}

BOOST_AUTO_TEST_CASE(a_gateway_that_hears_of_a_newer_configuration_asks_the_others_before_its_own_read_is_due)
{
    start(second);
    now += std::chrono::milliseconds{1};
    second.follower.note_configuration(0, "g1");
    second.follower.note_configuration(7, "g1");
    BOOST_TEST(second.fetches == 0);
    BOOST_REQUIRE(loop.run_until([&] { return second.fetches > 0; }));
    BOOST_REQUIRE(wait_for_call(second));
    second.follower.note_configuration(7, "g1");
    BOOST_REQUIRE(loop.run_until([&] { return second.fetches > 1; }));
}

BOOST_AUTO_TEST_CASE(a_key_written_twice_between_two_reads_does_not_exceed_a_datagram)
{
    start(first);
    auto older = written("c", 7);
    older.value = std::string(max_datagram_update_bytes * 2 / 3, 'x');
    auto newer = older;
    newer.revision = 8;
    const auto update = read_and_publish(first, {older, newer}, 8);
    const auto received = decode_update(encode_update(update, max_datagram_update_bytes));
    BOOST_REQUIRE(received);
    BOOST_TEST(!received->is_partial);
    BOOST_REQUIRE_EQUAL(received->changes.size(), 1U);
    BOOST_TEST(received->changes[0].revision == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
