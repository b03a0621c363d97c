#pragma once

#include <hemlocknotch/core/time.hpp>

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace hemlocknotch::standins {

/// Owner of a libevent loop. One thread.
class event_loop {
public:
    /// Makes a loop. Throws std::runtime_error where the system gives none.
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;
    ~event_loop();

    /// Returns the loop, for libraries that need it. Valid as long as this object.
    [[nodiscard]] event_base* base() const { return base_.get(); }

    /// Runs until `stop` is called or SIGTERM or SIGINT arrives.
    void run();

    /// Ends `run` after the callback that is running.
    void stop();

private:
    struct base_deleter {
        void operator()(event_base* base) const;
    };

    struct event_deleter {
        void operator()(event* it) const;
    };

    std::unique_ptr<event_base, base_deleter> base_;
    std::unique_ptr<event, event_deleter> on_terminate_;
    std::unique_ptr<event, event_deleter> on_interrupt_;
};

/// Calls a function once, some time after each `start`. Must not outlive its loop. One thread.
class timer {
public:
    timer(event_base* base, std::function<void()> action);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(timer&&) = delete;
    ~timer();

    /// Calls the function after `delay`, in place of any earlier start that has not come yet.
    void start(duration delay);

    /// Takes back a start that has not come yet.
    void stop();

    /// Returns whether a start has not come yet.
    [[nodiscard]] bool is_running() const;

private:
    std::function<void()> action_;
    event* event_;
};

/// Returns the monotonic clock's time.
instant now();

} // namespace hemlocknotch::standins
