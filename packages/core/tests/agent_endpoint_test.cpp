#include "agent_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;
using namespace hemlocknotch::test;

namespace {

/// An agent that runs request 1, resumable or not.
struct running_call_fixture : agent_fixture {
    explicit running_call_fixture(bool is_resumable) : agent_fixture{4}
    {
        configure_and_connect();
        submit_message value = create_submit(1);
        value.is_resumable = is_resumable;
        call = started_call(receive(1, value));
    }

    void answer(std::string bytes)
    {
        handle(endpoint_head_event{call, 200, {}, 0});
        handle(endpoint_part_event{call, std::move(bytes)});
    }

    call_id call = 0;
};

/// A limit that counts the calls of `on_cold`.
class counting_limit final : public concurrency_limit {
public:
    explicit counting_limit(int& cold_calls) : cold_calls_{&cold_calls} {}

    std::uint32_t limit() const override { return 4; }

    void on_unit(instant /*now*/, duration /*interval*/, bool /*is_first*/,
                 std::uint32_t /*running*/) override
    {
    }

    void on_completed(instant /*now*/, duration /*run_time*/, std::uint32_t /*running*/) override {}

    void on_failed(instant /*now*/) override {}

    void on_cold(instant /*now*/) override { ++*cold_calls_; }

private:
    int* cold_calls_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_endpoint_test)

BOOST_AUTO_TEST_CASE(request_that_the_endpoint_did_not_accept_is_refused_and_does_not_run_again)
{
    running_call_fixture it{true};
    const auto effects = it.handle(endpoint_end_event{it.call, call_outcome::not_started});
    BOOST_TEST((sent<refuse_message>(effects).at(0).code == refusal_code::endpoint_failed));
    BOOST_TEST(it.agent.state().running() == 0U);
    BOOST_TEST(it.agent.state().ledger().counter(some_account, 1.0) == 0.0);
    BOOST_TEST(effects_of<start_call_effect>(it.receive(1, agent_fixture::create_submit(1))).empty());
}

BOOST_AUTO_TEST_CASE(broken_answer_is_resumed_at_its_offset)
{
    running_call_fixture it{true};
    it.answer("abc");
    const auto resumed = it.handle(endpoint_end_event{it.call, call_outcome::broken});
    const start_call_effect resumed_call = effects_of<start_call_effect>(resumed).at(0);
    BOOST_TEST(resumed_call.offset == 3U);
    BOOST_TEST(resumed_call.call != it.call);
    it.handle(endpoint_part_event{it.call, "late bytes of the broken call"});
    it.handle(endpoint_head_event{resumed_call.call, 200, {}, 0});
    BOOST_TEST(sent<part_message>(it.handle(endpoint_part_event{resumed_call.call, "de"})).at(0).offset ==
               3U);
    const auto end = it.handle(endpoint_end_event{resumed_call.call, call_outcome::complete});
    BOOST_TEST(sent<end_message>(end).at(0).length == 5U);
}

BOOST_AUTO_TEST_CASE(broken_answer_that_cannot_be_resumed_ends_with_may_have_run)
{
    running_call_fixture it{false};
    it.answer("abc");
    const auto effects = it.handle(endpoint_end_event{it.call, call_outcome::broken});
    BOOST_TEST((sent<end_message>(effects).at(0).outcome == verdict::may_have_run));
}

BOOST_AUTO_TEST_CASE(broken_call_without_bytes_is_not_started_again)
{
    running_call_fixture it{true};
    const auto effects = it.handle(endpoint_end_event{it.call, call_outcome::broken});
    BOOST_TEST(effects_of<start_call_effect>(effects).empty());
    BOOST_TEST((sent<end_message>(effects).at(0).outcome == verdict::may_have_run));
}

BOOST_AUTO_TEST_CASE(stream_that_the_endpoint_no_longer_knows_ends_with_may_have_run)
{
    running_call_fixture it{true};
    it.answer("abc");
    const call_id resumed_call = started_call(it.handle(endpoint_end_event{it.call, call_outcome::broken}));
    const auto effects = it.handle(endpoint_head_event{resumed_call, 404, {}, 0});
    BOOST_TEST((sent<end_message>(effects).at(0).outcome == verdict::may_have_run));
    BOOST_TEST(sent<head_message>(effects).empty());
}

BOOST_AUTO_TEST_CASE(failure_in_place_of_the_rest_of_a_broken_answer_is_not_sent)
{
    for (const std::uint32_t status : {204U, 500U}) {
        running_call_fixture it{true};
        it.answer("abc");
        const call_id resumed_call =
            started_call(it.handle(endpoint_end_event{it.call, call_outcome::broken}));
        const auto effects = it.handle(endpoint_head_event{resumed_call, status, {}, 0});
        BOOST_REQUIRE_EQUAL(sent<end_message>(effects).size(), 1);
        BOOST_TEST((sent<end_message>(effects).front().outcome == verdict::may_have_run));
        BOOST_TEST(sent<part_message>(it.handle(endpoint_part_event{resumed_call, "failed"})).empty());
        BOOST_TEST(
            sent<end_message>(it.handle(endpoint_end_event{resumed_call, call_outcome::complete})).empty());
    }
}

BOOST_AUTO_TEST_CASE(rest_of_a_broken_answer_in_another_media_type_is_not_sent)
{
    running_call_fixture it{true};
    it.handle(endpoint_head_event{it.call, 200, {{"Content-Type", "application/x-ndjson"}}, 0});
    it.handle(endpoint_part_event{it.call, "abc"});
    const call_id first_resume = started_call(it.handle(endpoint_end_event{it.call, call_outcome::broken}));
    it.handle(endpoint_head_event{first_resume, 200, {{"Content-Type", "application/x-ndjson"}}, 0});
    BOOST_TEST(sent<part_message>(it.handle(endpoint_part_event{first_resume, "d"})).size() == 1U);
    const call_id resumed_call =
        started_call(it.handle(endpoint_end_event{first_resume, call_outcome::broken}));
    const auto effects =
        it.handle(endpoint_head_event{resumed_call, 200, {{"content-type", "text/plain"}}, 0});
    BOOST_REQUIRE_EQUAL(sent<end_message>(effects).size(), 1);
    BOOST_TEST((sent<end_message>(effects).front().outcome == verdict::may_have_run));
    BOOST_TEST(sent<part_message>(it.handle(endpoint_part_event{resumed_call, "failed"})).empty());
}

BOOST_AUTO_TEST_CASE(idle_call_is_replaced_up_to_max_resumes_and_then_ends_with_may_have_run)
{
    running_call_fixture it{true};
    it.answer("abc");
    for (std::uint32_t n = 0; n < it.options.max_resumes; ++n) {
        const auto effects = it.advance(it.options.endpoint_idle_timeout);
        BOOST_TEST(!effects_of<stop_call_effect>(effects).at(0).is_cancel);
        BOOST_TEST(effects_of<start_call_effect>(effects).at(0).offset == 3U);
    }
    const auto last = it.advance(it.options.endpoint_idle_timeout);
    BOOST_TEST((sent<end_message>(last).at(0).outcome == verdict::may_have_run));
    BOOST_TEST(it.agent.state().running() == 0U);
}

BOOST_AUTO_TEST_CASE(new_incarnation_of_the_endpoint_calls_on_cold_of_the_limit)
{
    int cold_calls = 0;
    agent_fixture settings;
    agent_reducer agent{settings.options, std::make_unique<fleet_fair_order>(),
                        std::make_unique<counting_limit>(cold_calls)};
    const instant now = settings.now;
    agent.reduce({now, 1, endpoint_health_event{true, 7, 0}});
    agent.reduce({now, 2, endpoint_health_event{true, 7, 0}});
    BOOST_TEST(cold_calls == 0);
    agent.reduce({now, 3, endpoint_health_event{true, 8, 0}});
    BOOST_TEST(cold_calls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
