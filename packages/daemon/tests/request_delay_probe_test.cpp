#include "event_priority.hpp"
#include "gateway/request_delay_probe.hpp"
#include "libevent_handles.hpp"
#include "timer.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

instant now()
{
    return instant{std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

struct probe_fixture {
    event_base_ptr base = create_prioritized_loop();
    int measurements = 0;
    int checks = 0;
    request_delay_probe probe{base.get(), now, [this](duration /*it*/) { ++measurements; },
                              [this] {
                                  ++checks;
                                  if (probe.is_late() || checks == enough) {
                                      event_base_loopbreak(base.get());
                                  }
                              }};
    int enough = 50;
};

BOOST_FIXTURE_TEST_SUITE(request_delay_probe_suite, probe_fixture)

BOOST_AUTO_TEST_CASE(measures_again_without_being_asked)
{
    enough = 4;
    probe.start();
    event_base_dispatch(base.get());
    BOOST_TEST(checks == 4);
    BOOST_TEST(measurements >= 3);
    BOOST_TEST(!probe.is_late());
}

BOOST_AUTO_TEST_CASE(late_reads_are_noticed_within_checks_that_do_not_wait_for_a_report)
{
    // One round of these takes longer than the bound.
    constexpr int callers = 20;
    std::vector<std::unique_ptr<timer>> requests;
    for (int n = 0; n < callers; ++n) {
        requests.push_back(std::make_unique<timer>(
            base.get(),
            [&requests, callers, n] {
                std::this_thread::sleep_for(request_delay_probe::late_after * 2 / callers);
                requests[static_cast<std::size_t>(n)]->activate();
            },
            event_priority::request));
        requests.back()->activate();
    }
    const auto begin = now();
    probe.start();
    event_base_dispatch(base.get());
    BOOST_TEST(probe.is_late());
    // Target: before callers abandon requests that are not read, after 1 s, doubled for a busy machine.
    BOOST_TEST((now() - begin < std::chrono::seconds{2}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
