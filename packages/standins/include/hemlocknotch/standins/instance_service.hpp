#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/http_server.hpp>
#include <hemlocknotch/standins/instance_view.hpp>

#include <nlohmann/json_fwd.hpp>

namespace hemlocknotch::standins {

/// Stand-in of the platform's instance list (docs/INTERFACES.md, docs/STANDINS.md). One thread.
class instance_service {
public:
    /// Makes a list that listens at `address`. Throws std::runtime_error where it cannot. `loop` must outlive
    /// it.
    instance_service(event_loop& loop, const endpoint_address& address, duration lag);

    /// Returns where it listens.
    [[nodiscard]] nlohmann::json addresses() const;

private:
    void on_request(const http_request& request);
    void on_instance(const http_request& request, const std::string& name);
    void on_fault_request(const http_request& request);

    http_server server_;
    instance_view view_;
    bool is_out_ = false;
};

} // namespace hemlocknotch::standins
