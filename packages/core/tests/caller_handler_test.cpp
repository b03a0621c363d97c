#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {
namespace {

entry_options small_limits()
{
    entry_options options = entry_fixture::default_options();
    options.max_waiting = 3;
    options.max_waiting_per_account = 2;
    options.max_held_bytes = 50;
    return options;
}

struct small_entry : entry_fixture {
    small_entry() : entry_fixture{small_limits()}
    {
        configure({"agent-1"});
        greet(1, "agent-1");
    }

    void call_with_key()
    {
        auto request = request_of(5, "transfer");
        request.idempotency_key = "key";
        on(request);
        BOOST_REQUIRE_EQUAL(all<claim_key_effect>().size(), 1);
        id = all<claim_key_effect>().front().id;
    }

    void require_refusal(refusal_code code)
    {
        BOOST_REQUIRE_EQUAL(all<reply_refusal_effect>().size(), 1);
        BOOST_TEST((all<reply_refusal_effect>().front().reason.code == code));
        BOOST_TEST((all<reply_refusal_effect>().front().reason.outcome == verdict::not_run));
    }

    void require_settled(verdict outcome)
    {
        BOOST_REQUIRE_EQUAL(all<settle_claim_effect>().size(), 1);
        BOOST_TEST((all<settle_claim_effect>().front().outcome == outcome));
    }

    request_id id;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_handler_test, small_entry)

BOOST_AUTO_TEST_CASE(limits_queues_per_account_in_total_and_in_bytes)
{
    call(1, "draft");
    call(2, "draft");
    call(3, "draft");
    require_refusal(refusal_code::account_queue_full);
    BOOST_TEST((all<reply_refusal_effect>().front().reason.retry_after > duration::zero()));
    call(4, "draft", "south");
    call(5, "draft", "south");
    require_refusal(refusal_code::queue_full);
    BOOST_TEST(status().waiting == 3U);
    pass(std::chrono::seconds{10});
    on(store_contact_event{true});
    auto large = request_of(6, "draft");
    large.body = std::string(51, 'x');
    on(large);
    require_refusal(refusal_code::body_too_large);
    large.exchange = 7;
    large.body = std::string(30, 'x');
    on(large);
    BOOST_TEST(status().held_bytes == 30U);
    large.exchange = 8;
    on(large);
    require_refusal(refusal_code::queue_full);
}

BOOST_AUTO_TEST_CASE(limits_the_number_of_requests_including_dispatched_ones)
{
    on_message(1, free_slots_message{.free_slots = 10});
    for (exchange_id n = 1; n <= 6; ++n) {
        call(n, "draft", n % 2 == 0 ? "north" : "south");
        BOOST_TEST(sent<submit_message>().size() == 1U);
    }
    call(7, "draft");
    require_refusal(refusal_code::queue_full);
}

BOOST_AUTO_TEST_CASE(dispatches_no_request_before_the_claim_of_its_idempotency_key_succeeds)
{
    on_message(1, free_slots_message{.free_slots = 1});
    call_with_key();
    BOOST_TEST(sent<submit_message>().empty());
    on(claim_result_event{id, claim_outcome::won});
    BOOST_TEST(sent<submit_message>().size() == 1U);
    on_message(1, head_message{.id = id, .status = 200, .headers = {}});
    on_message(1, end_message{.id = id, .length = 0});
    require_settled(verdict::ran);
}

BOOST_AUTO_TEST_CASE(refuses_a_key_that_is_held_or_cannot_be_claimed)
{
    on_message(1, free_slots_message{.free_slots = 2});
    call_with_key();
    on(claim_result_event{id, claim_outcome::held_by_other});
    require_refusal(refusal_code::idempotency_key_in_use);
    BOOST_TEST(all<settle_claim_effect>().empty());
    call_with_key();
    on(claim_result_event{id, claim_outcome::unavailable});
    require_refusal(refusal_code::idempotency_store_unavailable);
    require_settled(verdict::not_run);
}

BOOST_AUTO_TEST_CASE(releases_a_claim_won_after_its_request_ended)
{
    call_with_key();
    pass(std::chrono::seconds{10});
    require_refusal(refusal_code::deadline_passed);
    on(claim_result_event{id, claim_outcome::won});
    require_settled(verdict::not_run);
    BOOST_TEST(sent<submit_message>().empty());
}

BOOST_AUTO_TEST_CASE(tracks_claimed_work_until_it_ends_when_its_caller_has_disconnected)
{
    on_message(1, free_slots_message{.free_slots = 1});
    call_with_key();
    on(claim_result_event{id, claim_outcome::won});
    on(caller_disconnected_event{5});
    BOOST_TEST(sent<cancel_message>().empty());
    on_message(1, end_message{.id = id, .outcome = verdict::may_have_run});
    require_settled(verdict::may_have_run);
    BOOST_TEST(all<reply_refusal_effect>().empty());
}

BOOST_AUTO_TEST_CASE(cancels_work_whose_caller_has_disconnected)
{
    on_message(1, free_slots_message{.free_slots = 1});
    call(5, "draft");
    on(caller_disconnected_event{5});
    BOOST_TEST(sent<cancel_message>().size() == 1U);
    BOOST_TEST(status().outstanding == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
