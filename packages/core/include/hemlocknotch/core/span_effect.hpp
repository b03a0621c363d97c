#pragma once

#include <hemlocknotch/core/request_id.hpp>
#include <hemlocknotch/core/time.hpp>

#include <string>
#include <string_view>

namespace hemlocknotch {

/// Effect of every reducer: one hop of a request has ended; write its trace span.
struct span_effect {
    request_id id;
    /// Hop: `request`, `entry-queue`, `link`, `agent-queue` or `endpoint`.
    std::string_view operation;
    instant started;
    instant ended;
    /// W3C trace context that the hop belongs to, as received.
    std::string traceparent;
    std::string client_account;
    std::string profile;
    /// Outcome of the hop, such as a verdict or a refusal code.
    std::string outcome;
};

} // namespace hemlocknotch
