#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <variant>

namespace hemlocknotch {
namespace {

struct working_entry : entry_fixture {
    working_entry()
    {
        configure({"agent-1"});
        greet(1, "agent-1");
        on_message(1, free_slots_message{.free_slots = 1});
        call(1, "transfer");
        running = sent<submit_message>().at(0).id;
        call(2, "transfer");
    }

    request_id running;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_core_test, working_entry)

BOOST_AUTO_TEST_CASE(a_graceful_stop_completes_accepted_requests)
{
    on(stop_event{});
    BOOST_TEST(!status().is_ready);
    BOOST_TEST(all<readiness_effect>().size() == 1U);
    call(3, "draft");
    BOOST_TEST((all<reply_refusal_effect>().at(0).reason.code == refusal_code::shutting_down));
    on_message(1, head_message{.id = running, .status = 200, .headers = {}});
    on_message(1, end_message{.id = running, .length = 0});
    BOOST_TEST(all<stopped_effect>().empty());
    on_message(1, free_slots_message{.free_slots = 1});
    const request_id second = sent<submit_message>().at(0).id;
    on_message(1, head_message{.id = second, .status = 200, .headers = {}});
    on_message(1, end_message{.id = second, .length = 0});
    BOOST_TEST(all<reply_end_effect>().size() == 1U);
    BOOST_TEST(all<stopped_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_immediate_stop_ends_requests_with_correct_verdicts)
{
    on(stop_event{true});
    const auto refusals = all<reply_refusal_effect>();
    BOOST_REQUIRE_EQUAL(refusals.size(), 2);
    for (const reply_refusal_effect& it : refusals) {
        const verdict expected = it.exchange == 1 ? verdict::may_have_run : verdict::not_run;
        BOOST_TEST((it.reason.outcome == expected));
    }
    BOOST_TEST(all<stopped_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_ends_at_its_time_limit)
{
    on(stop_event{});
    on_message(1, head_message{.id = running, .status = 200, .headers = {}});
    for (int n = 0; n < 59; ++n) {
        pass(std::chrono::seconds{1});
        on_message(1, part_message{.id = running, .offset = static_cast<std::uint64_t>(n), .bytes = "x"});
    }
    pass(std::chrono::seconds{2});
    BOOST_TEST(all<reply_abort_effect>().size() == 1U);
    BOOST_TEST(all<stopped_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(accepts_no_new_requests_when_out_of_service)
{
    auto changed = make_configuration(2);
    changed->out.failure_domains.insert("a");
    on(configuration_event{changed});
    BOOST_TEST(!status().is_ready);
    call(3, "draft");
    BOOST_TEST((all<reply_refusal_effect>().at(0).reason.code == refusal_code::out_of_service));
    on_message(1, end_message{.id = running, .length = 0});
    on_message(1, head_message{.id = running, .status = 200, .headers = {}});
    BOOST_TEST(all<reply_head_effect>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(never_moves_to_a_lower_revision)
{
    on(configuration_event{make_configuration(5)});
    on(configuration_event{make_configuration(4)});
    BOOST_TEST(status().revision == 5U);
}

// Guards against timers that stop until the next event of another kind because an early tick schedules no
// further one.
BOOST_AUTO_TEST_CASE(an_early_tick_schedules_another_one)
{
    entry_fixture entry;
    entry.configure({});
    const auto initial = entry.pass(std::chrono::seconds{2}, std::chrono::seconds{2});
    const auto is_tick = [](const entry_effect& it) {
        return std::holds_alternative<schedule_tick_effect>(it);
    };
    BOOST_TEST(std::count_if(initial.begin(), initial.end(), is_tick) == 1);
    const auto repeated = entry.on(tick_event{});
    BOOST_TEST(std::count_if(repeated.begin(), repeated.end(), is_tick) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
