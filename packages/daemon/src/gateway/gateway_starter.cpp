#include "gateway_starter.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <event2/event.h>

#include <chrono>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

constexpr duration attempt_interval = std::chrono::milliseconds{200};

} // namespace

gateway_starter::gateway_starter(event_base* base, gateway_shell& shell, duration limit)
    : base_{base}, shell_{shell}, until_{clock_.now() + limit}, next_attempt_{base, [this] { attempt(); }}
{
    next_attempt_.activate();
}

void gateway_starter::stop()
{
    if (has_started_) {
        shell_.stop();
        return;
    }
    next_attempt_.stop();
    event_base_loopbreak(base_);
}

void gateway_starter::attempt()
{
    has_started_ = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            if (auto it = shell_.start(); !it) {
                return it.error();
            }
            return true;
        },
        [&](const start_error& it) {
            on_failure(it);
            return false;
        },
        [&] {
            on_failure({"could not start for an unknown reason", "Report it with the log", false});
            return false;
        });
}

void gateway_starter::on_failure(const start_error& failure)
{
    if (!failure.may_pass || clock_.now() >= until_) {
        error_ = failure;
        event_base_loopbreak(base_);
        return;
    }
    if (!std::exchange(is_delayed_, true)) {
        shell_.log({log_level::warning, "start-delayed", {{"reason", failure.what}}});
    }
    next_attempt_.start(attempt_interval);
}

} // namespace hemlocknotch::daemon
