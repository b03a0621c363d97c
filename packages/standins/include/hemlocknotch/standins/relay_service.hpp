#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/http_server.hpp>
#include <hemlocknotch/standins/relay_route.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace hemlocknotch::standins {

/// Named TCP relays that can be cut or silenced over HTTP (docs/STANDINS.md). One thread.
class relay_service {
public:
    /// Makes a service without routes that listens at `address`. Throws std::runtime_error where it cannot.
    /// `loop` must outlive it.
    relay_service(event_loop& loop, const endpoint_address& address);

    /// Returns where it listens.
    [[nodiscard]] nlohmann::json addresses() const;

private:
    void on_request(const http_request& request);
    void change_route(const std::string& name, const nlohmann::json& document);

    event_loop& loop_;
    http_server server_;
    std::map<std::string, std::unique_ptr<relay_route>> routes_;
};

} // namespace hemlocknotch::standins
