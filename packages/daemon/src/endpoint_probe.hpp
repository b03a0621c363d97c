#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/time.hpp>

#include "endpoint_sink.hpp"
#include "page_client.hpp"
#include "timer.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Reads the body of an endpoint's `GET /health`. Returns an event that says the endpoint was not reached
/// where the body is missing or malformed. Pure.
endpoint_health_event read_health(const std::optional<std::string>& body);

/// What an engine's `GET /v1/cache-events` answers.
struct cache_reading {
    /// Where the next call goes on.
    std::uint64_t next = 0;
    endpoint_cache_event events;
};

/// Reads the body of an engine's `GET /v1/cache-events`. Returns nothing where it is malformed. Pure.
std::optional<cache_reading> read_cache_events(std::string_view body);

/// Asks an endpoint's health page on demand, and an engine's cache events at an interval. Used by the event
/// loop's thread only.
class endpoint_probe {
public:
    /// `base` and `sink` must outlive the probe. With `cache_interval` zero, cache events are not asked for.
    endpoint_probe(event_base* base, const endpoint_address& endpoint, duration cache_interval,
                   endpoint_sink& sink);

    /// Asks the health page. Does nothing while an earlier question waits for its answer.
    void ask_health();

private:
    void ask_cache_events();
    void take_cache_events(const std::optional<std::string>& body);

    endpoint_sink& sink_;
    duration cache_interval_;
    std::uint64_t next_cache_event_ = 0;
    page_client health_;
    page_client cache_;
    timer cache_timer_;
};

} // namespace hemlocknotch::daemon
