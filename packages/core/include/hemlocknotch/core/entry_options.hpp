#pragma once

#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlocknotch {

/// Limits and intervals of an entry process, from its settings. The shell has validated their ranges.
struct entry_options {
    process_identity identity;
    std::string failure_domain;
    /// Maximum number of waiting requests, in total and per client account. Including dispatched requests, at
    /// most `2 * max_waiting` are held.
    std::size_t max_waiting = 4096;
    std::size_t max_waiting_per_account = 1024;
    /// Maximum total bytes of request bodies held.
    std::size_t max_held_bytes = 64U << 20U;
    /// Maximum bytes of an answer that have been received but not yet sent to its caller.
    std::size_t reply_window_bytes = 256U << 10U;
    /// Number of agents per service that this entry links to, on average.
    std::size_t agents_per_service = 64;
    /// Number of processes in each failure domain that watch the configuration in the key-value service.
    std::size_t watchers_per_domain = 2;
    /// Retries allowed per request, on average over recent requests.
    double retry_share = 0.1;
    duration retry_backoff = std::chrono::milliseconds{20};
    /// Minimum time between two demand messages to the same agent.
    duration demand_interval = std::chrono::milliseconds{20};
    duration report_interval = std::chrono::seconds{1};
    duration heartbeat_interval = std::chrono::milliseconds{500};
    /// A link on which nothing is received for this long while an answer is expected is replaced.
    duration peer_timeout = std::chrono::milliseconds{1500};
    duration reconnect_backoff = std::chrono::milliseconds{100};
    duration reconnect_backoff_limit = std::chrono::seconds{2};
    /// A dispatch whose agent incarnation has given no information about it for this long is abandoned.
    duration resolve_limit = std::chrono::seconds{5};
    /// After this long without contact to either the key-value service or another failure domain, no new work
    /// is accepted.
    duration out_of_reach_limit = std::chrono::seconds{3};
    /// Maximum duration of a graceful stop.
    duration stop_limit = std::chrono::seconds{60};
};

/// Maximum number of bytes sent to a caller before they are acknowledged to the agent. An agent's send window
/// must be at least twice this, otherwise its answers would wait for an acknowledgement that is not due yet.
inline constexpr std::size_t max_acknowledgement_step_bytes = 16U << 10U;

/// Returns the number of bytes sent to the caller after which an entry with `options` sends an
/// acknowledgement to the agent. At least 1.
constexpr std::size_t acknowledgement_step_bytes(const entry_options& options)
{
    constexpr std::size_t steps_in_window = 4;
    const std::size_t step = options.reply_window_bytes / steps_in_window;
    return std::clamp<std::size_t>(step, 1, max_acknowledgement_step_bytes);
}

} // namespace hemlocknotch
