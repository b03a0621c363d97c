#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/http_server.hpp>
#include <hemlocknotch/standins/key_value_store.hpp>
#include <hemlocknotch/standins/token_bucket.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace hemlocknotch::standins {

/// What the key-value service does wrong until told otherwise (docs/STANDINS.md).
struct key_value_faults {
    /// Closes every connection without an answer; nothing takes effect.
    bool is_out = false;
    /// Keeps connections open and answers nothing; nothing takes effect.
    bool is_silent = false;
    /// Writes take effect and their answers are lost.
    bool is_losing_answers = false;
    /// Answers come this much later.
    duration delay{};
};

struct key_value_options {
    /// Calls a second before 429, by kind; 0 for no limit.
    double reads_per_second = 2000.0;
    double writes_per_second = 400.0;
};

/// Stand-in of the platform's key-value service (docs/INTERFACES.md, docs/STANDINS.md). One thread.
class key_value_service {
public:
    /// Makes a service that listens at `address`, and at a second address for faults and tests. Throws
    /// std::runtime_error where it cannot listen. `loop` must outlive it.
    key_value_service(event_loop& loop, const endpoint_address& address, const key_value_options& options);

    /// Returns where the service and its fault switch listen.
    [[nodiscard]] nlohmann::json addresses() const;

private:
    struct waiting_watch {
        http_request request;
        std::string key;
        std::uint64_t after = 0;
        instant until;
    };

    struct delayed_call {
        http_request request;
        std::unique_ptr<timer> start;
    };

    void on_request(const http_request& request);
    void on_control(const http_request& request);
    void on_fault_request(const http_request& request);
    void delay(const http_request& request);
    void answer(const http_request& request);
    void on_key(const http_request& request, const std::string& key);
    void on_lease(const http_request& request);
    void read(const http_request& request, const std::string& key);
    void write(const http_request& request, const std::string& key);
    void reply_value(const http_request& request, const std::string& key) const;
    void reply_write(const http_request& request, write_status status, const std::string& key);
    void wake_watches();
    void sweep();

    key_value_options options_;
    event_loop& loop_;
    http_server server_;
    http_server control_;
    key_value_store store_;
    key_value_faults faults_;
    token_bucket reads_;
    token_bucket writes_;
    std::map<std::string, std::uint64_t> counts_;
    std::list<waiting_watch> watches_;
    std::list<delayed_call> delayed_;
    timer sweep_timer_;
};

} // namespace hemlocknotch::standins
