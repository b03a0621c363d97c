#pragma once

#include <hemlocknotch/coordination/http_client.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/ctl/edit_environment.hpp>

#include "command_options.hpp"

#include <boost/leaf.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

struct event_base;

namespace hemlocknotch {

/// Frees an event loop.
struct event_base_deleter {
    void operator()(event_base* base) const;
};

/// The event loop of one command, and its connections to the platform and the daemons. Used by one thread.
class command_context final : public edit_environment {
public:
    /// Makes a context with the addresses and limits of `options`. Throws std::bad_alloc where the system
    /// gives no event loop.
    explicit command_context(const command_options& options);

    /// Returns the key-value service. Fails with a `command_error` where no address was given.
    boost::leaf::result<std::reference_wrapper<key_value_service>> store();

    /// Returns a client of the instance list's server. Fails with a `command_error` where no address was
    /// given.
    boost::leaf::result<std::reference_wrapper<http_client>> instances();

    /// Returns whether an address of the instance list was given.
    [[nodiscard]] bool has_instances() const { return !options_.instances.empty(); }

    /// Returns a client of a daemon's operators' address, the same one for the same address.
    http_client& daemon(const endpoint_address& address);

    /// Returns the time limit of one call.
    [[nodiscard]] duration call_limit() const { return std::chrono::milliseconds{options_.timeout_ms}; }

    /// Runs the event loop until `is_done` returns true. Precondition: something is under way that makes it
    /// true at some time.
    void run_until(const std::function<bool()>& is_done);

    /// Runs the event loop for `time`.
    void sleep(duration time);

    [[nodiscard]] std::string now_utc() const override;
    std::string new_change() override;
    void run_later(duration delay, std::function<void()> action) override;

private:
    command_options options_;
    std::unique_ptr<event_base, event_base_deleter> base_;
    std::unique_ptr<key_value_service> store_;
    std::unique_ptr<http_client> instances_;
    /// By address.
    std::map<std::string, std::unique_ptr<http_client>> daemons_;
    std::random_device random_;
};

} // namespace hemlocknotch
