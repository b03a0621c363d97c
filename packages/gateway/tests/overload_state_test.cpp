#include <hemlocknotch/gateway/overload_state.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>

namespace hemlocknotch::gateway {
namespace {

using std::chrono::milliseconds;

constexpr duration step = milliseconds{100};

/// What callers of a gateway get that can read `capacity` requests in a step.
struct served_callers {
    int read_in_time = 0;
    int turned_away = 0;
    int read_late = 0;
};

/// Plays a burst of new callers, of which the gateway serves those that it reads within a third of a second,
/// in the order in which they come. Turning one away costs a tenth of reading it.
served_callers play_burst(double capacity, double arrivals, int steps, bool sheds)
{
    served_callers out;
    overload_state it;
    instant now{std::chrono::seconds{100}};
    double backlog = 0.0;
    for (int n = 0; n < steps; ++n) {
        auto budget = capacity;
        for (int k = 0; k < static_cast<int>(arrivals); ++k) {
            if (sheds && !it.take_connection()) {
                ++out.turned_away;
                budget -= 0.1;
            }
            else {
                backlog += 1.0;
            }
        }
        const auto delay = std::chrono::duration_cast<duration>(step * (backlog / capacity));
        const auto read = std::min(backlog, std::max(0.0, budget));
        backlog -= read;
        (delay < milliseconds{333} ? out.read_in_time : out.read_late) += static_cast<int>(read);
        now += step;
        it.note(std::max(duration::zero(), delay - step), now);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_state_suite)

BOOST_AUTO_TEST_CASE(a_gateway_that_reads_in_time_takes_all_callers)
{
    overload_state it;
    instant now{std::chrono::seconds{100}};
    for (int n = 0; n < 100; ++n) {
        BOOST_TEST(!it.note(milliseconds{n % 100}, now += step));
        BOOST_TEST(!it.is_shedding());
        BOOST_TEST(!it.is_late());
    }
}

/// Guards against a gateway that counts as ready again as soon as one request is read in time, so that the
/// balancer floods it by turns.
BOOST_AUTO_TEST_CASE(a_late_gateway_is_ready_again_after_a_calm_time)
{
    overload_state it;
    instant now{std::chrono::seconds{100}};
    BOOST_TEST(it.note(milliseconds{300}, now));
    BOOST_TEST(it.is_late());
    BOOST_TEST(it.is_shedding());
    BOOST_TEST(!it.note(milliseconds{10}, now + overload_state::recovery_time - step));
    BOOST_TEST(it.is_late());
    BOOST_TEST(it.note(milliseconds{10}, now + overload_state::recovery_time));
    BOOST_TEST(!it.is_late());
    BOOST_TEST(!it.is_shedding());
}

BOOST_AUTO_TEST_CASE(a_gateway_that_refuses_connections_goes_on_to_limit_them)
{
    overload_state it;
    instant now{std::chrono::seconds{100}};
    it.note(milliseconds{130}, now);
    for (int n = 0; n < 50; ++n) {
        while (it.take_connection()) {
        }
        it.note(milliseconds{10}, now += step);
        BOOST_TEST(it.is_shedding());
    }
    BOOST_TEST(it.refused() == 50U);
}

/// Guards against a gateway whose whole work comes too late. The load: twice and five times the callers that
/// it can read, for 20 s. It serves at least half of what it can read, and without shedding next to nothing.
BOOST_AUTO_TEST_CASE(a_gateway_with_too_many_callers_serves_what_it_can)
{
    constexpr int steps = 200;
    constexpr double capacity = 20.0;
    for (const auto excess : {2.0, 5.0}) {
        const auto with = play_burst(capacity, capacity * excess, steps, true);
        const auto without = play_burst(capacity, capacity * excess, steps, false);
        BOOST_TEST(with.read_in_time > capacity * steps / 2);
        BOOST_TEST(without.read_in_time < capacity * steps / 10);
        BOOST_TEST(with.read_late < with.read_in_time / 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
