#pragma once

#include <string_view>

namespace hemlocknotch::gateway {

/// What a placement policy knows of one endpoint.
struct endpoint_load {
    /// Valid as long as the table that made this value is not changed.
    std::string_view instance;
    /// May take a request now: not leaving, not out of service, not suspected, not held back while cold.
    bool is_usable = false;
    /// Prompt tokens sent and not yet read, as far as known, of all gateways.
    double pending_tokens = 0.0;
    /// Requests sent and not ended, as far as known, of all gateways.
    unsigned running = 0;
    /// Prompt tokens that it was sent in a second, of late, by all gateways.
    double tokens_per_second = 0.0;
    /// Requests that it executes at once.
    unsigned slots = 1;
    /// Tokens at the beginning of the prompt in question that were sent there of late and need not be read
    /// again, as far as this gateway knows.
    double cached_tokens = 0.0;
};

} // namespace hemlocknotch::gateway
