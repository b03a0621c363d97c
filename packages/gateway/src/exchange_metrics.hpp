#pragma once

#include <hemlocknotch/gateway/router_port.hpp>

#include "exchange.hpp"

namespace hemlocknotch::gateway {

/// Counts a request on a known route for its client account.
void record_request(router_port& port, const exchange& it);

/// Counts an attempt by its endpoint, and records how long the request waited and how many tokens of its
/// prompt are cached.
void record_attempt(router_port& port, const exchange& it, instant now);

/// Counts a call without an answer for its endpoint.
void record_failed_call(router_port& port, const exchange& it);

/// Counts, for its endpoint, a call that was to continue a stream and was answered with something else.
void record_stream_not_continued(router_port& port, const exchange& it);

} // namespace hemlocknotch::gateway
