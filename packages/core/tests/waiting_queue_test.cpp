#include "waiting_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace hemlocknotch {
namespace {

const auto north = account_key::of("north");

/// Requests of one account, and the queue that they wait in.
struct filled_queue {
    entry_request& add(urgency work_urgency, duration arrived, std::uint64_t prefix = 0)
    {
        profile_definition& profile = profiles.emplace_back();
        profile.work_urgency = work_urgency;
        entry_request& it = requests.emplace_back();
        it.id = request_id{1, requests.size()};
        it.client_account = north;
        it.profile = &profile;
        it.arrived = instant{arrived};
        it.deadline = it.arrived + std::chrono::minutes{10};
        it.prefix = prefix;
        queue.add(it);
        return it;
    }

    std::deque<profile_definition> profiles;
    std::deque<entry_request> requests;
    waiting_queue queue;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(waiting_queue_test, filled_queue)

BOOST_AUTO_TEST_CASE(serves_prompt_work_before_slow)
{
    add(urgency::slow, std::chrono::seconds{0});
    const entry_request& prompt = add(urgency::prompt, std::chrono::seconds{1});
    BOOST_TEST(queue.choose(north, {}) == &prompt);
}

BOOST_AUTO_TEST_CASE(does_not_starve_slow_work)
{
    const entry_request& slow = add(urgency::slow, std::chrono::seconds{0});
    for (duration at{}; at < slow_wait; at += std::chrono::milliseconds{500}) {
        entry_request& prompt = add(urgency::prompt, at);
        entry_request* const chosen = queue.choose(north, {});
        if (chosen == &slow) {
            BOOST_TEST((at >= slow_wait - prompt_wait));
            return;
        }
        BOOST_TEST(chosen == &prompt);
        queue.remove(prompt);
    }
    BOOST_FAIL("slow work was passed for longer than its wait");
}

BOOST_AUTO_TEST_CASE(serves_an_earlier_deadline_first)
{
    entry_request& later = add(urgency::prompt, std::chrono::seconds{0});
    entry_request& sooner = add(urgency::prompt, std::chrono::seconds{1});
    queue.remove(sooner);
    sooner.deadline = instant{std::chrono::milliseconds{999}};
    queue.add(sooner);
    BOOST_TEST(queue.choose(north, {}) == &sooner);
    BOOST_TEST(queue.count_of(north) == 2U);
    BOOST_TEST((queue.oldest_arrival(north) == later.arrived));
}

BOOST_AUTO_TEST_CASE(prefers_a_cached_prefix_within_bounds)
{
    entry_request& first = add(urgency::prompt, std::chrono::seconds{0});
    constexpr std::uint64_t cached = 5;
    for (std::uint32_t n = 0; n < waiting_queue::max_times_passed_over; ++n) {
        entry_request& other = add(urgency::prompt, std::chrono::seconds{1}, cached);
        BOOST_TEST(queue.choose(north, std::vector{cached}) == &other);
        queue.remove(other);
    }
    add(urgency::prompt, std::chrono::seconds{1}, cached);
    BOOST_TEST(queue.choose(north, std::vector{cached}) == &first);
}

BOOST_AUTO_TEST_CASE(ignores_cached_prefixes_beyond_the_reorder_window)
{
    entry_request& first = add(urgency::prompt, std::chrono::seconds{0});
    for (std::size_t n = 1; n < waiting_queue::reorder_window; ++n) {
        add(urgency::prompt, std::chrono::seconds{1});
    }
    constexpr std::uint64_t cached = 5;
    add(urgency::prompt, std::chrono::seconds{2}, cached);
    BOOST_TEST(queue.choose(north, std::vector{cached}) == &first);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
