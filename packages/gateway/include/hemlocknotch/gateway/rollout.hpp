#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Order of the operators to move a service to another software version.
struct rollout_order {
    std::string service;
    /// Version to move to.
    std::string version;
    /// Time within which the roll-out has to end, from the order on. Above zero.
    duration time_limit{};

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// Progress of a roll-out, in the order in which phases follow each other. The last two are final.
enum class rollout_phase : std::uint8_t {
    /// The new version gets a small share of the requests.
    observing,
    /// The new version gets a growing share, up to all requests.
    moving,
    completed,
    rolled_back,
};

/// Returns whether a roll-out in `phase` has ended. Thread-safe.
constexpr bool is_final(rollout_phase phase)
{
    return phase >= rollout_phase::completed;
}

/// Returns the name of `phase` for logs, metrics and the registry. Thread-safe.
std::string_view to_text(rollout_phase phase);

/// Identifies the write of an order: revisions are compared within an era only.
struct rollout_position {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend bool operator==(const rollout_position&, const rollout_position&) = default;
};

/// State of a roll-out as it is kept in the registry, where it outlasts all gateways.
struct rollout_record {
    rollout_order order;
    /// The write of the order that the record is about.
    rollout_position position;
    rollout_phase phase = rollout_phase::observing;
    /// Time since the order when the record was written.
    duration elapsed{};
    /// Versions of earlier orders that were not completed and get no requests.
    std::vector<std::string> blocked_versions;

    friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

} // namespace hemlocknotch::gateway
