#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/engine_model.hpp>
#include <hemlocknotch/standins/engine_stream.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/http_server.hpp>
#include <hemlocknotch/standins/prefix_cache.hpp>
#include <hemlocknotch/standins/service_faults.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlocknotch::standins {

/// What the stand-in of a model engine does besides its model.
struct engine_service_options {
    engine_options engine;
    bool is_warm = false;
    /// Time to read a prompt whose beginning is not cached, and one whose beginning is.
    duration prefill = std::chrono::milliseconds{200};
    duration cached_prefill = std::chrono::milliseconds{40};
    std::size_t cached_prefixes = 8;
    /// Each so-manyth cache event is lost; 0 for none.
    std::uint64_t cache_event_gap = 7;
    duration cache_event_delay = std::chrono::seconds{2};
    /// Age of the load that `/health` tells.
    duration load_lag = std::chrono::seconds{1};
    /// Time from a failure to the restart.
    duration restart = std::chrono::seconds{3};
    /// A stream that nobody reads is stopped after this time.
    duration unread_limit = std::chrono::seconds{10};
    bool checks_fencing = true;
};

/// Stand-in of a model engine: continuous batching over HTTP (docs/INTERFACES.md, docs/STANDINS.md). One
/// thread.
class engine_service {
public:
    /// Makes an engine that listens at `address`, and at a second address for faults and tests. Throws
    /// std::runtime_error where it cannot listen. `loop` must outlive it.
    engine_service(event_loop& loop, const endpoint_address& address, const engine_service_options& options);

    /// Returns where the engine and its fault switch listen.
    [[nodiscard]] nlohmann::json addresses() const;

private:
    void on_request(const http_request& request);
    void on_control(const http_request& request);
    void on_fault_request(const http_request& request);
    void generate(const http_request& request);
    void on_stream_request(const http_request& request);
    void on_order(const http_request& request);
    void reply_cache_events(const http_request& request) const;
    void reply_health(const http_request& request) const;
    void schedule();
    void step();
    void stop_unread(instant at);
    void note_load(instant at);
    void sweep();
    void silence_readers();
    void fall_over();
    void restart();
    [[nodiscard]] duration prefill_of(const nlohmann::json& body, instant at);
    [[nodiscard]] duration scaled(duration time) const;

    engine_service_options options_;
    event_loop& loop_;
    http_server server_;
    http_server control_;
    engine_model model_;
    prefix_cache cache_;
    service_faults faults_;
    std::uint64_t incarnation_;
    std::uint64_t highest_fencing_ = 0;
    std::uint64_t fall_count_ = 0;
    std::uint64_t token_count_ = 0;
    std::uint64_t started_count_ = 0;
    bool is_down_ = false;
    std::map<std::string, std::unique_ptr<engine_stream>> running_;
    std::map<std::string, std::unique_ptr<engine_stream>> ended_;
    std::deque<std::string> ended_order_;
    /// Connections that stay open and never get another byte.
    std::vector<std::unique_ptr<response_stream>> silenced_;

    struct load_sample {
        instant at;
        std::size_t running = 0;
    };

    std::deque<load_sample> loads_;
    instant next_step_;
    duration current_step_{};
    timer step_timer_;
    timer restart_timer_;
    timer sweep_timer_;
};

} // namespace hemlocknotch::standins
