#pragma once

#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlocknotch {

/// Limits and intervals of an agent, from the settings. Precondition: the caller has checked their ranges.
struct agent_options {
    process_identity identity;
    std::string failure_domain;
    std::string service;
    /// Initial concurrency limit.
    std::uint32_t initial_limit = 2;
    /// Maximum concurrency limit.
    std::uint32_t max_limit = 64;
    /// Sets the concurrency limit to `max_limit` from the start and keeps it there.
    bool is_limit_fixed = false;
    duration grant_time_to_live = std::chrono::milliseconds{500};
    /// Grants issued beyond the free slots, so that a request is already waiting when a slot becomes free.
    std::uint32_t grants_ahead = 0;
    duration report_interval = std::chrono::seconds{1};
    duration heartbeat_interval = std::chrono::milliseconds{500};
    duration peer_timeout = std::chrono::milliseconds{1500};
    duration health_interval = std::chrono::milliseconds{500};
    /// Time without bytes after which a running call to the endpoint is replaced by one that resumes the
    /// answer.
    duration endpoint_idle_timeout = std::chrono::seconds{2};
    /// Maximum number of times that the answer of one request is resumed at the endpoint.
    std::uint32_t max_resumes = 3;
    /// Time for which an answer is retained while its entry has no link to this agent.
    duration answer_retention = std::chrono::seconds{30};
    /// Time for which a tombstone is retained after it was added.
    duration tombstone_retention = std::chrono::seconds{120};
    /// Maximum number of tombstones.
    std::size_t max_tombstones = 65536;
    std::size_t max_answer_bytes = 16U << 20U;
    /// Bytes of an answer that may be sent and not yet acknowledged by the entry.
    std::size_t send_window_bytes = 256U << 10U;
    /// Number of processes in each failure domain that watch the configuration in the key-value service. The
    /// others receive it over their links.
    std::size_t watchers_per_domain = 2;
    duration out_of_reach_limit = std::chrono::seconds{3};
    duration stop_limit = std::chrono::seconds{60};
};

} // namespace hemlocknotch
