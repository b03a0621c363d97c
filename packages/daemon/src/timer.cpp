#include "timer.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

void run_callback(evutil_socket_t /*fd*/, short /*what*/, void* arg)
{
    (*static_cast<std::function<void()>*>(arg))();
}

} // namespace

timer::timer(event_base* base, std::function<void()> callback, event_priority priority)
    : callback_{std::move(callback)}, event_{event_new(base, -1, 0, run_callback, &callback_)}
{
    assert(callback_);
    assert(event_);
    set_priority(*event_, priority);
}

void timer::start(duration delay)
{
    const auto bounded = std::max(delay, duration::zero());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(bounded);
    timeval tv{};
    tv.tv_sec = seconds.count();
    tv.tv_usec = (bounded - seconds).count();
    event_add(event_.get(), &tv);
}

void timer::activate()
{
    event_active(event_.get(), EV_TIMEOUT, 0);
}

void timer::stop()
{
    event_del(event_.get());
}

} // namespace hemlocknotch::daemon
