#include "process_runtime.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace hemlocknotch::daemon {
namespace {

settings minimal_settings()
{
    settings out;
    out.name = "entry-a";
    out.key_value_service = endpoint_address::parse("127.0.0.1:1");
    out.instance_list = endpoint_address::parse("127.0.0.1:1");
    return out;
}

/// Schedules one tick after another and counts those that come too early.
struct tick_recorder final : runtime_sink {
    void on_members(members_event /*members*/) override {}

    void on_configuration(configuration_event /*accepted*/) override {}

    void on_store_contact(store_contact_event /*contact*/) override {}

    void on_tick() override
    {
        early += runtime->clock().now() < due ? 1 : 0;
        if (++ticks == max_ticks) {
            event_base_loopbreak(runtime->base());
            return;
        }
        schedule_next();
    }

    void on_stop(stop_event /*stop*/) override {}

    bool has_unsent_bytes() override { return false; }

    /// Schedules the next tick. The delay grows by 37 microseconds each time, so that the ticks fall anywhere
    /// between two steps of the system's coarse clock.
    void schedule_next()
    {
        due = runtime->clock().now() + std::chrono::microseconds{1000 + (ticks * 37)};
        runtime->execute(schedule_tick_effect{due});
    }

    static constexpr int max_ticks = 200;
    process_runtime* runtime = nullptr;
    instant due;
    int ticks = 0;
    int early = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_runtime_test)

BOOST_AUTO_TEST_CASE(tick_never_comes_before_its_scheduled_time)
{
    tick_recorder sink;
    process_runtime runtime{minimal_settings(), sink};
    sink.runtime = &runtime;
    sink.schedule_next();
    runtime.run();
    BOOST_TEST(sink.ticks == tick_recorder::max_ticks);
    BOOST_TEST(sink.early == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
