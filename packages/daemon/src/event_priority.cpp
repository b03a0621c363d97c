#include "event_priority.hpp"

#include <cassert>
#include <memory>
#include <new>

namespace hemlocknotch::daemon {
namespace {

/// libevent gives new events the middle priority. Of three, that is the one of control events, so that
/// events which libevent creates itself have it too. The highest is not used.
constexpr int priority_count = 3;
constexpr int control_priority = priority_count / 2;
constexpr int request_priority = priority_count - 1;

} // namespace

event_base_ptr create_prioritized_loop()
{
    const std::unique_ptr<event_config, event_config_deleter> config{event_config_new()};
    if (!config || event_config_set_max_dispatch_interval(config.get(), nullptr, max_request_events,
                                                          request_priority) != 0) {
        throw std::bad_alloc{};
    }
    event_base_ptr out{event_base_new_with_config(config.get())};
    if (!out || event_base_priority_init(out.get(), priority_count) != 0) {
        throw std::bad_alloc{};
    }
    return out;
}

void set_priority(event& it, event_priority priority)
{
    if (event_base_get_npriorities(event_get_base(&it)) != priority_count) {
        return;
    }
    [[maybe_unused]] const auto failed =
        event_priority_set(&it, priority == event_priority::request ? request_priority : control_priority);
    assert(failed == 0);
}

} // namespace hemlocknotch::daemon
