#include "command_context.hpp"

#include <hemlocknotch/coordination/http_platform.hpp>

#include "command_error.hpp"

#include <event2/event.h>

#include <array>
#include <cassert>
#include <ctime>
#include <new>
#include <utility>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;

timeval to_timeval(duration value)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(value);
    timeval tv{};
    tv.tv_sec = seconds.count();
    tv.tv_usec = (value - seconds).count();
    return tv;
}

/// Reads the address that `option` was given as. The command line has checked its form.
leaf::result<endpoint_address> read_address(const std::string& text, const std::string& option,
                                            const std::string& variable)
{
    const auto address = endpoint_address::parse(text);
    if (!address) {
        return leaf::new_error(
            command_error{exit_code::usage, "no address given: " + option + " is missing",
                          "Give " + option + " ADDRESS, such as 10.0.0.5:2379, or set " + variable + "."});
    }
    return *address;
}

void run_action(evutil_socket_t /*fd*/, short /*what*/, void* argument)
{
    const std::unique_ptr<std::function<void()>> action{static_cast<std::function<void()>*>(argument)};
    (*action)();
}

} // namespace

void event_base_deleter::operator()(event_base* base) const
{
    event_base_free(base);
}

command_context::command_context(const command_options& options) : options_{options}, base_{event_base_new()}
{
    if (!base_) {
        throw std::bad_alloc{};
    }
}

leaf::result<std::reference_wrapper<key_value_service>> command_context::store()
{
    if (!store_) {
        BOOST_LEAF_AUTO(address, read_address(options_.store, "--store", "HEMLOCKNOTCH_STORE"));
        store_ = create_http_key_value_service(base_.get(), address, call_limit());
    }
    return std::ref(*store_);
}

leaf::result<std::reference_wrapper<http_client>> command_context::instances()
{
    if (!instances_) {
        BOOST_LEAF_AUTO(address, read_address(options_.instances, "--instances", "HEMLOCKNOTCH_INSTANCES"));
        instances_ = std::make_unique<http_client>(base_.get(), address);
    }
    return std::ref(*instances_);
}

http_client& command_context::daemon(const endpoint_address& address)
{
    std::unique_ptr<http_client>& client = daemons_[address.to_string()];
    if (!client) {
        client = std::make_unique<http_client>(base_.get(), address);
    }
    return *client;
}

void command_context::run_until(const std::function<bool()>& is_done)
{
    while (!is_done()) {
        const int failed = event_base_loop(base_.get(), EVLOOP_ONCE);
        assert(failed == 0);
    }
}

void command_context::sleep(duration time)
{
    bool is_over = false;
    run_later(time, [&] { is_over = true; });
    run_until([&] { return is_over; });
}

std::string command_context::now_utc() const
{
    const std::time_t now = std::time(nullptr);
    std::tm utc{};
    gmtime_r(&now, &utc);
    std::array<char, sizeof "2026-01-31T12:00:00Z"> text{};
    const std::size_t n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return {text.data(), n};
}

std::string command_context::new_change()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 16;
    std::uniform_int_distribution<std::size_t> digit{0, digits.size() - 1};
    std::string text;
    while (text.size() < length) {
        text += digits[digit(random_)];
    }
    return text;
}

void command_context::run_later(duration delay, std::function<void()> action)
{
    auto owned = std::make_unique<std::function<void()>>(std::move(action));
    const timeval tv = to_timeval(delay);
    if (event_base_once(base_.get(), -1, EV_TIMEOUT, &run_action, owned.get(), &tv) != 0) {
        throw std::bad_alloc{};
    }
    // The event owns it now.
    static_cast<void>(owned.release());
}

} // namespace hemlocknotch
