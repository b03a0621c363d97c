#pragma once

#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlocknotch {

/// Limits and intervals of an entry, from its settings. The shell has checked their ranges.
struct entry_options {
    process_identity identity;
    std::string failure_domain;
    /// Waiting requests in all and for each client account. With those dispatched, twice the first are held.
    std::size_t max_waiting = 4096;
    std::size_t max_waiting_per_account = 1024;
    /// Bytes of request bodies held in all.
    std::size_t max_held_bytes = 64U << 20U;
    /// Bytes of an answer that may be ahead of what its caller has taken.
    std::size_t reply_window_bytes = 256U << 10U;
    /// Number of agents for each service that this entry links to.
    std::size_t agents_per_service = 64;
    /// Number of processes in each failure domain that watch the configuration in the key-value service.
    std::size_t watchers_per_domain = 2;
    /// Executions beyond the first allowed for each request, on average over recent ones.
    double retry_share = 0.1;
    duration retry_backoff = std::chrono::milliseconds{20};
    /// Demand is told at most this often to each agent.
    duration demand_interval = std::chrono::milliseconds{20};
    duration report_interval = std::chrono::seconds{1};
    duration heartbeat_interval = std::chrono::milliseconds{500};
    /// A link on which nothing has come for this long while something is outstanding is replaced.
    duration peer_timeout = std::chrono::milliseconds{1500};
    duration reconnect_backoff = std::chrono::milliseconds{100};
    duration reconnect_backoff_limit = std::chrono::seconds{2};
    /// A dispatch of which its agent incarnation can tell nothing for this long is given up.
    duration resolve_limit = std::chrono::seconds{5};
    /// Without contact to the key-value service and to another failure domain for this long, no new work.
    duration out_of_reach_limit = std::chrono::seconds{3};
    /// Time that a planned stop may take.
    duration stop_limit = std::chrono::seconds{60};
};

/// Largest number of bytes that a caller may have taken without the agent being told. An agent's send window
/// must be at least twice this, or its answers would wait for an acknowledgement that is not due yet.
inline constexpr std::size_t max_acknowledgement_step_bytes = 16U << 10U;

/// Returns after how many bytes taken by the caller an entry with `options` tells the agent. At least 1.
constexpr std::size_t acknowledgement_step_bytes(const entry_options& options)
{
    constexpr std::size_t steps_in_window = 4;
    const std::size_t step = options.reply_window_bytes / steps_in_window;
    return std::clamp<std::size_t>(step, 1, max_acknowledgement_step_bytes);
}

} // namespace hemlocknotch
