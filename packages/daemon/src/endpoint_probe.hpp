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

/// Parses the body of an endpoint's `GET /health`. If the body is missing or malformed, the event says that
/// the endpoint was not reached. Pure.
endpoint_health_event read_health(const std::optional<std::string>& body);

/// Answer to an engine's `GET /v1/cache-events`.
struct cache_events_page {
    /// Position from which the next call continues.
    std::uint64_t next = 0;
    endpoint_cache_event events;
};

/// Parses the body of an engine's `GET /v1/cache-events`. Returns nothing if it is malformed. Pure.
std::optional<cache_events_page> read_cache_events(std::string_view body);

/// Fetches an endpoint's health page on demand, and an engine's cache events periodically. Used by the event
/// loop's thread only.
class endpoint_probe {
public:
    /// `base` and `sink` must outlive the probe. If `cache_interval` is zero, cache events are not fetched.
    endpoint_probe(event_base* base, const endpoint_address& endpoint, duration cache_interval,
                   endpoint_sink& sink);

    /// Fetches the health page. Does nothing while an earlier fetch is in progress.
    void request_health();

private:
    void request_cache_events();
    void process_cache_events(const std::optional<std::string>& body);

    endpoint_sink& sink_;
    duration cache_interval_;
    std::uint64_t next_cache_event_ = 0;
    page_client health_;
    page_client cache_;
    timer cache_timer_;
};

} // namespace hemlocknotch::daemon
