#include <hemlocknotch/standins/event_loop.hpp>

#include <event2/event.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace hemlocknotch::standins {
namespace {

void break_loop(evutil_socket_t /*signal*/, short /*what*/, void* loop)
{
    event_base_loopbreak(static_cast<event_base*>(loop));
}

void run_action(evutil_socket_t /*fd*/, short /*what*/, void* action)
{
    (*static_cast<std::function<void()>*>(action))();
}

} // namespace

void event_loop::base_deleter::operator()(event_base* base) const
{
    event_base_free(base);
}

void event_loop::event_deleter::operator()(event* it) const
{
    event_free(it);
}

event_loop::event_loop() : base_{event_base_new()}
{
    if (!base_) {
        throw std::runtime_error{"no event loop available"};
    }
    on_terminate_.reset(evsignal_new(base(), SIGTERM, break_loop, base()));
    on_interrupt_.reset(evsignal_new(base(), SIGINT, break_loop, base()));
    event_add(on_terminate_.get(), nullptr);
    event_add(on_interrupt_.get(), nullptr);
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    event_base_dispatch(base());
}

void event_loop::stop()
{
    event_base_loopbreak(base());
}

timer::timer(event_base* base, std::function<void()> action)
    : action_{std::move(action)}, event_{evtimer_new(base, run_action, &action_)}
{
    if (event_ == nullptr) {
        throw std::runtime_error{"no timer available"};
    }
}

timer::~timer()
{
    event_free(event_);
}

void timer::start(duration delay)
{
    const duration wait = std::max(delay, duration::zero());
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(wait);
    timeval tv{};
    tv.tv_sec = whole.count();
    tv.tv_usec = (wait - whole).count();
    evtimer_add(event_, &tv);
}

void timer::stop()
{
    evtimer_del(event_);
}

bool timer::is_running() const
{
    return evtimer_pending(event_, nullptr) != 0;
}

instant now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return instant{std::chrono::duration_cast<duration>(since_start)};
}

} // namespace hemlocknotch::standins
