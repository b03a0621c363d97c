#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/connection_listener.hpp>
#include <hemlocknotch/standins/relay_connection.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string_view>

struct event_base;

namespace hemlocknotch::standins {

/// What a route does with its connections.
enum class relay_mode : std::uint8_t {
    /// Passes everything on.
    pass,
    /// Closes every connection, and each new one at once.
    cut,
    /// Keeps old connections and closes each new one at once.
    refuse,
    /// Takes connections and passes nothing on; what was held back is passed on when the mode changes.
    silent,
    /// Passes on what connections send to the target, and holds back what the target sends.
    one_way,
};

/// Reads `pass`, `cut`, `refuse`, `silent` or `one-way`. Returns nothing on any other text.
std::optional<relay_mode> parse_relay_mode(std::string_view text);

/// One listener whose connections are passed on to one target. One thread.
class relay_route {
public:
    /// Listens on loopback at a port that the system chooses. Throws std::runtime_error where it cannot.
    /// `base` must outlive it.
    relay_route(event_base* base, endpoint_address target);
    relay_route(const relay_route&) = delete;
    relay_route& operator=(const relay_route&) = delete;
    relay_route(relay_route&&) = delete;
    relay_route& operator=(relay_route&&) = delete;
    ~relay_route() = default;

    /// Returns where it listens.
    [[nodiscard]] const endpoint_address& address() const { return listener_.address(); }

    /// Passes new connections on to `target`.
    void set_target(endpoint_address target);

    /// Changes the mode, for open connections too.
    void set_mode(relay_mode mode);

    /// Makes the connections that are open now silent for good; new ones follow the mode.
    void silence_open();

    /// Resets each open connection, at both ends, for which `is_chosen` returns true.
    void reset_open(const std::function<bool()>& is_chosen);

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

private:
    struct open_connection {
        std::unique_ptr<relay_connection> connection;
        bool is_silenced = false;
    };

    void accept(int fd);
    void apply_mode(const open_connection& it) const;

    event_base* base_;
    endpoint_address target_;
    relay_mode mode_ = relay_mode::pass;
    std::list<open_connection> connections_;
    connection_listener listener_;
};

} // namespace hemlocknotch::standins
