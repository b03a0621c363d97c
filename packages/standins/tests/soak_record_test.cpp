#include <hemlocknotch/standins/soak_record.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace hemlocknotch::standins {
namespace {

struct record_fixture {
    record_fixture() { it.note_configuration(true, now); }

    std::string add(soak_request_kind kind, bool has_second_key = false)
    {
        return it.add({.kind = kind,
                       .gateway = "g1",
                       .has_second_key = has_second_key,
                       .sent_at = now,
                       .is_gateway_in_touch = true});
    }

    instant now{std::chrono::seconds{100}};
    soak_record it{std::chrono::seconds{2}};
};

BOOST_FIXTURE_TEST_SUITE(soak_record_suite, record_fixture)

BOOST_AUTO_TEST_CASE(finds_a_second_execution_of_an_unsafe_request)
{
    const auto unsafe = add(soak_request_kind::unsafe);
    const auto safe = add(soak_request_kind::safe);
    it.check_executions({{unsafe, 1}, {safe, 2}});
    BOOST_TEST(it.violations().empty());
    it.check_executions({{unsafe, 2}});
    BOOST_TEST(it.violations().size() == 1U);
    it.check_executions({{safe, 3}});
    BOOST_TEST(it.violations().size() == 2U);
}

BOOST_AUTO_TEST_CASE(finds_an_execution_after_the_answer_that_it_was_not_executed)
{
    const auto id = add(soak_request_kind::unsafe);
    it.check_answer(id, 503, "", "");
    it.check_executions({{id, 1}});
    BOOST_TEST(it.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(finds_a_failure_that_no_endpoint_gave)
{
    const auto id = add(soak_request_kind::stream);
    const auto other = add(soak_request_kind::stream);
    it.note_failure(id, 500, "failed");
    it.check_answer(id, 500, "failed", "");
    it.check_answer(other, 502, "", "");
    BOOST_TEST(it.violations().empty());
    it.check_answer(id, 500, "another", "");
    BOOST_TEST(it.violations().size() == 1U);
    it.check_answer(other, 500, "failed", "");
    BOOST_TEST(it.violations().size() == 2U);
    it.check_answer(other, 204, "", "");
    BOOST_TEST(it.violations().size() == 3U);
}

BOOST_AUTO_TEST_CASE(finds_other_text_in_a_stream_that_broke_off)
{
    const auto id = add(soak_request_kind::stream);
    it.check_partial_body(id, "", "events");
    it.check_partial_body(id, "eve", "events");
    it.check_partial_body(id, "events", "events");
    BOOST_TEST(it.violations().empty());
    it.check_partial_body(id, "evefailed", "events");
    BOOST_TEST(it.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(finds_requests_that_still_crash_endpoints_long_after_the_third_crash)
{
    const auto crash = [&](bool is_undisturbed) {
        const auto id = it.add({.gateway = "g1", .sent_at = now, .is_gateway_undisturbed = is_undisturbed});
        it.note_crash(id, now);
    };
    for (int n = 0; n < 8; ++n) {
        crash(true);
    }
    now += std::chrono::seconds{4};
    for (int n = 0; n < 3; ++n) {
        crash(true);
        crash(false);
    }
    BOOST_TEST(it.violations().empty());
    crash(true);
    BOOST_TEST(it.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(finds_a_request_for_an_endpoint_whose_leaving_its_gateway_has_passed_on)
{
    it.note_leaving("g1", "m1@2", now);
    it.check_arrival(add(soak_request_kind::safe), "m1@2");
    now += std::chrono::seconds{3};
    const auto id = add(soak_request_kind::safe);
    it.check_arrival(id, "m1@3");
    it.check_arrival(id, "m2@2");
    BOOST_TEST(it.violations().empty());
    it.check_arrival(id, "m1@2");
    BOOST_TEST(it.violations().size() == 1U);
    it.forget_leaving("g1");
    it.check_arrival(id, "m1@2");
    BOOST_TEST(it.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(finds_a_wrong_body_and_a_refused_route_and_key)
{
    it.check_answer(add(soak_request_kind::safe), 200, "a", "b");
    it.check_answer(add(soak_request_kind::safe), 404, "", "");
    it.check_answer(add(soak_request_kind::safe), 401, "", "");
    BOOST_TEST(it.violations().size() == 3U);
}

BOOST_AUTO_TEST_CASE(finds_a_key_that_is_used_later_than_the_bound_after_its_removal)
{
    now += std::chrono::seconds{10};
    it.note_configuration(false, now);
    now += std::chrono::milliseconds{1900};
    it.check_answer(add(soak_request_kind::safe, true), 200, "", "");
    it.check_answer(add(soak_request_kind::safe, true), 401, "", "");
    BOOST_TEST(it.violations().empty());
    now += std::chrono::milliseconds{200};
    it.check_answer(add(soak_request_kind::safe, true), 200, "", "");
    BOOST_TEST(it.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(finds_a_key_that_is_refused_later_than_the_bound_after_its_return)
{
    it.note_configuration(false, now);
    now += std::chrono::seconds{10};
    it.note_configuration(true, now);
    now += std::chrono::milliseconds{2100};
    it.check_answer(add(soak_request_kind::safe, true), 401, "", "");
    BOOST_TEST(it.violations().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::standins
