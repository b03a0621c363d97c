#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hemlocknotch {

/// A numeric IP address and a port. Immutable value; safe to share between threads.
class endpoint_address {
public:
    /// Reads `127.0.0.1:8080` or `[::1]:8080`. Returns nothing if the text is not a numeric IP address with a
    /// port from 0 to 65535. Port 0 asks the system for a free port and is meant for listeners only.
    static std::optional<endpoint_address> parse(std::string_view text);

    /// Returns the IP address without brackets.
    [[nodiscard]] const std::string& host() const { return host_; }

    /// Returns the port.
    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// Returns the form that `parse` reads.
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const endpoint_address&, const endpoint_address&) = default;

private:
    endpoint_address(std::string host, std::uint16_t port) : host_{std::move(host)}, port_{port} {}

    std::string host_;
    std::uint16_t port_;
};

} // namespace hemlocknotch
