#pragma once

#include <string_view>

namespace hemlocknotch::gateway {

/// Load of one endpoint, as a placement policy sees it.
struct endpoint_load {
    /// Valid until the table that returned this value is changed.
    std::string_view instance;
    /// Whether it may take a request now: not draining, out of service or suspected, and not held back by its
    /// limit while cold.
    bool is_usable = false;
    /// Prompt tokens sent by all gateways and not yet read, as far as known.
    double pending_tokens = 0.0;
    /// Requests sent by all gateways that have not ended, as far as known.
    unsigned running = 0;
    /// Recent rate of prompt tokens sent by all gateways, per second.
    double tokens_per_second = 0.0;
    /// Requests that the endpoint executes at once.
    unsigned slots = 1;
    /// Tokens at the beginning of the prompt that were recently sent to the endpoint and need not be read
    /// again, as far as this gateway knows.
    double cached_tokens = 0.0;
};

} // namespace hemlocknotch::gateway
