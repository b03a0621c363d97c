#pragma once

#include <hemlocknotch/standins/platform_endpoint.hpp>
#include <hemlocknotch/standins/relay_route.hpp>

#include <cstdint>
#include <string>

namespace hemlocknotch::standins {

/// An endpoint of a soak behind a relay, under whose address it is registered. It may end and start anew
/// under its name. One thread.
class soak_endpoint {
public:
    /// `base` must outlive it. Throws std::runtime_error where it cannot listen.
    soak_endpoint(event_base* base, const std::string& instance, std::string service);

    /// Returns the key of its registration in the store.
    [[nodiscard]] std::string key() const { return "servers/" + endpoint_.instance(); }

    /// Returns its registration in the present state.
    [[nodiscard]] std::string registration() const;

    /// Sets the state that it registers, such as `ready` or `draining`.
    void set_state(std::string state) { state_ = std::move(state); }

    /// Returns the name of its present start.
    [[nodiscard]] const std::string& start_name() const { return endpoint_.start_name; }

    /// Lets it say in its answers that it leaves. It does not from its next start on.
    void begin_leaving();
    /// Ends it: connections break, and new ones are refused until `restart`.
    void end();
    /// Starts it anew if it has ended.
    void restart();

    [[nodiscard]] bool is_running() const { return is_running_; }

    [[nodiscard]] platform_endpoint& endpoint() { return endpoint_; }

    [[nodiscard]] relay_route& link() { return link_; }

private:
    void set_start(std::uint64_t n);

    std::string service_;
    std::string state_ = "ready";
    platform_endpoint endpoint_;
    relay_route link_;
    bool is_running_ = true;
    /// Number of its starts, which stands for the time of the last one.
    std::uint64_t starts_ = 0;
};

} // namespace hemlocknotch::standins
