#include "gateway/stop_schedule.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(stop_schedule_suite)

BOOST_AUTO_TEST_CASE(a_usual_grace_covers_two_checks_of_the_balancer_and_the_last_answers)
{
    const stop_schedule it{seconds{8}};
    BOOST_TEST((it.end_of_intake() > seconds{2} && it.end_of_intake() < seconds{3}));
    BOOST_TEST((it.end_of_requests() >= seconds{7} && it.end_of_requests() < seconds{8}));
}

BOOST_AUTO_TEST_CASE(the_steps_follow_one_another_and_end_within_any_grace)
{
    for (const duration grace :
         {duration{milliseconds{1}}, duration{milliseconds{1000}}, duration{seconds{2}}, duration{seconds{4}},
          duration{seconds{8}}, duration{seconds{600}}}) {
        const stop_schedule it{grace};
        BOOST_TEST((it.end_of_intake() < it.end_of_requests()), grace.count());
        BOOST_TEST((it.end_of_requests() < it.end_of_process()), grace.count());
        BOOST_TEST((it.end_of_process() < grace), grace.count());
    }
}

// Guards against requests that are cut though their endpoints were at work, earlier than callers expect.
BOOST_AUTO_TEST_CASE(requests_are_served_up_to_the_last_sixth_of_any_grace)
{
    for (const auto grace :
         {milliseconds{1000}, milliseconds{2500}, milliseconds{4000}, milliseconds{8000}}) {
        BOOST_TEST((stop_schedule{grace}.end_of_requests() >= grace * 5 / 6), grace.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
