#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {
namespace {

struct ready_entry : entry_fixture {
    ready_entry()
    {
        configure({"agent-1"});
        greet(1, "agent-1");
    }
};

/// Returns the code of the only refusal among the last effects.
refusal_code refused_with(const entry_fixture& entry)
{
    const auto refusals = entry.all<reply_refusal_effect>();
    BOOST_REQUIRE_EQUAL(refusals.size(), 1);
    BOOST_TEST((refusals.front().reason.outcome == verdict::not_run));
    return refusals.front().reason.code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_reducer_test)

BOOST_FIXTURE_TEST_CASE(forwards_a_complete_answer, ready_entry)
{
    on_message(1, free_slots_message{.free_slots = 1});
    call(5, "draft");
    const auto submits = sent<submit_message>();
    BOOST_REQUIRE_EQUAL(submits.size(), 1);
    const request_id id = submits.front().id;
    BOOST_TEST(submits.front().attempt == 1U);
    on_message(1, head_message{.id = id, .status = 201, .headers = {{"a", "b"}}});
    BOOST_REQUIRE_EQUAL(all<reply_head_effect>().size(), 1);
    BOOST_TEST(all<reply_head_effect>().front().status == 201U);
    BOOST_TEST((all<reply_head_effect>().front().id == id));
    on_message(1, part_message{.id = id, .offset = 0, .bytes = "ab"});
    BOOST_TEST(all<reply_part_effect>().front().bytes == "ab");
    on_message(1, end_message{.id = id, .length = 2, .cost = 3.0});
    BOOST_TEST(all<reply_end_effect>().size() == 1U);
    BOOST_TEST(sent<ack_message>().front().is_final);
    BOOST_TEST(status().outstanding == 0U);
}

BOOST_FIXTURE_TEST_CASE(rejects_invalid_requests, entry_fixture)
{
    call(1, "draft");
    BOOST_TEST((refused_with(*this) == refusal_code::no_configuration));
    configure({});
    call(2, "draft", "nobody");
    BOOST_TEST((refused_with(*this) == refusal_code::unknown_client_account));
    call(3, "nothing");
    BOOST_TEST((refused_with(*this) == refusal_code::unknown_profile));
    auto large = request_of(4, "draft");
    large.body = std::string(101, 'x');
    on(large);
    BOOST_TEST((refused_with(*this) == refusal_code::body_too_large));
}

BOOST_FIXTURE_TEST_CASE(reports_demand_and_uses_or_declines_grants, ready_entry)
{
    call(1, "draft");
    BOOST_TEST(sent<submit_message>().empty());
    pass(std::chrono::milliseconds{20});
    const auto demands = sent<demand_message>();
    BOOST_REQUIRE_EQUAL(demands.size(), 1);
    BOOST_REQUIRE_EQUAL(demands.front().items.size(), 1);
    BOOST_TEST(demands.front().items.front().waiting == 1U);
    on_message(1, grant_message{9, account_key::of("south"), std::chrono::seconds{1}, {}});
    BOOST_TEST(sent<decline_message>().size() == 1U);
    on_message(1, grant_message{10, account_key::of("north"), std::chrono::seconds{1}, {}});
    BOOST_REQUIRE_EQUAL(sent<submit_message>().size(), 1);
    BOOST_TEST(sent<submit_message>().front().grant == 10U);
    pass(std::chrono::milliseconds{20});
    BOOST_REQUIRE_EQUAL(sent<demand_message>().size(), 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
