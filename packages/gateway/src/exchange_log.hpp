#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/gateway/crash_breaker.hpp>
#include <hemlocknotch/gateway/request_signature.hpp>

#include "exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace hemlocknotch::gateway {

/// How a request ended, and the state of the gateway then.
struct exchange_end {
    /// Status of the answer to the caller; 0: none.
    int status = 0;
    std::string_view reason;
    instant at;
    /// Requests that waited for an endpoint of the same service.
    std::size_t waiting = 0;
    /// Version of the configuration in force; 0: none.
    std::uint64_t configuration_version = 0;
    /// Age of the registry at the decision that the end follows from; negative: unknown.
    duration registry_age{-1};
};

/// Returns the log record for the end of a request.
log_effect request_ended_record(const exchange& it, const exchange_end& end, log_level level);

/// Returns the log record for a call without a complete answer that ended at `now`. `event_delay` is the time
/// for which events of connections wait in this process.
log_effect call_failed_record(const exchange& it, bool was_reached, duration event_delay, instant now);

/// Describes a call that continues a stream after the event `after`.
log_effect stream_continued_record(const exchange& it, std::string_view after);

/// Returns the log record for a stream that has begun and that the endpoint of the present call answered with
/// something else than further events.
log_effect stream_not_continued_record(const exchange& it);

/// Returns the log record for an endpoint that broke off a call while `open`, all calls to it, were open. It
/// names the shared prompt parts of those of which no event had arrived.
log_effect endpoint_cut_calls_record(std::string_view instance, std::span<const exchange* const> open);

/// Returns the log record for an endpoint that states another limit of requests per second; 0: none. `source`
/// is the gateway that has reported it; empty for this one.
log_effect endpoint_limit_record(std::string_view instance, double before, double after,
                                 std::string_view source);

/// Returns the log record for a change of what is believed of a signature.
log_effect signature_changed_record(const signature_event& it);

} // namespace hemlocknotch::gateway
