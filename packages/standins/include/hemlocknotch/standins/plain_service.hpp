#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/http_server.hpp>
#include <hemlocknotch/standins/service_faults.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace hemlocknotch::standins {

struct plain_service_options {
    /// Working time of a request whose body gives no `work_ms`.
    duration work = std::chrono::milliseconds{10};
    /// Requests that run together; more are refused as not run.
    std::size_t max_running = 16;
};

/// Stand-in of a plain service (docs/INTERFACES.md, docs/STANDINS.md): executes each request once it comes
/// and records the execution by request id and by the body's `booking`. One thread.
class plain_service {
public:
    /// Makes a service that listens at `address`, and at a second address for faults and tests. Throws
    /// std::runtime_error where it cannot listen. `loop` must outlive it.
    plain_service(event_loop& loop, const endpoint_address& address, const plain_service_options& options);

    /// Returns where the service and its fault switch listen.
    [[nodiscard]] nlohmann::json addresses() const;

private:
    struct execution {
        http_request request;
        std::string answer;
        std::unique_ptr<timer> completion;
    };

    void on_request(const http_request& request);
    void on_control(const http_request& request);
    void on_fault_request(const http_request& request);
    void execute(const http_request& request);
    void complete(std::list<execution>::iterator it);
    void reply(const http_request& request, const std::string& answer);

    plain_service_options options_;
    event_loop& loop_;
    http_server server_;
    http_server control_;
    service_faults faults_;
    std::uint64_t incarnation_;
    std::uint64_t total_ = 0;
    std::map<std::string, std::uint64_t> by_request_;
    std::map<std::string, std::uint64_t> by_booking_;
    std::list<execution> running_;
};

} // namespace hemlocknotch::standins
