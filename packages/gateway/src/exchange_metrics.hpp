#pragma once

#include <hemlocknotch/gateway/router_port.hpp>

#include "exchange.hpp"

namespace hemlocknotch::gateway {

/// Counts a request on a known route by its client account.
void record_request(router_port& port, const exchange& it);

/// Counts a send with the time that the request waited for it, and which tokens of its prompt are kept.
void record_sent(router_port& port, const exchange& it, instant now);

/// Counts a call that ended without an answer by its endpoint.
void record_failed_call(router_port& port, const exchange& it);

} // namespace hemlocknotch::gateway
