#pragma once

#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlocknotch {

/// Limits and intervals of an agent, from its settings. The shell has checked their ranges.
struct agent_options {
    process_identity identity;
    std::string failure_domain;
    std::string service;
    /// Concurrency limit at the start and at the most.
    std::uint32_t initial_limit = 2;
    std::uint32_t max_limit = 64;
    /// Bounds the endpoint's concurrency to `max_limit` from the start, without slow start.
    bool is_limit_fixed = false;
    duration grant_time_to_live = std::chrono::milliseconds{500};
    /// Grants issued beyond the free places, so that a request is at hand when a place becomes free.
    std::uint32_t grants_ahead = 0;
    duration report_interval = std::chrono::seconds{1};
    duration heartbeat_interval = std::chrono::milliseconds{500};
    duration peer_timeout = std::chrono::milliseconds{1500};
    duration health_interval = std::chrono::milliseconds{500};
    /// The endpoint's connection is replaced after this long without bytes while a call runs.
    duration endpoint_idle_timeout = std::chrono::seconds{2};
    /// Calls resumed at the endpoint for one request.
    std::uint32_t max_resumes = 3;
    /// An answer is kept for this long without its entry, and a tombstone.
    duration answer_retention = std::chrono::seconds{30};
    duration tombstone_retention = std::chrono::seconds{120};
    /// Tombstones and ended requests kept, at the most.
    std::size_t max_tombstones = 65536;
    std::size_t max_answer_bytes = 16U << 20U;
    /// Bytes of an answer that may be ahead of the entry's acknowledgement.
    std::size_t send_window_bytes = 256U << 10U;
    /// Number of processes in each failure domain that watch the configuration in the key-value service.
    std::size_t watchers_per_domain = 2;
    duration out_of_reach_limit = std::chrono::seconds{3};
    duration stop_limit = std::chrono::seconds{60};
};

} // namespace hemlocknotch
