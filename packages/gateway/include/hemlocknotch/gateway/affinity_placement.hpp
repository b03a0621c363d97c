#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>

#include <cstddef>

namespace hemlocknotch::gateway {

/// Settings of `affinity_placement`. Bounds are relative to the tokens that the operators state for one
/// endpoint in a second, so that they fit endpoints of any speed; the figures come from paired runs
/// (docs/MEASUREMENTS.md).
struct affinity_options {
    /// Endpoints among which one shared part is spread. Two choices even out most of the load (Mitzenmacher,
    /// "The Power of Two Choices in Randomized Load Balancing", 2001); each further one reads each part
    /// again.
    std::size_t fanout = 2;
    /// Where another than the first of them would have to read tokens of the shared part again, these count
    /// so many times as work ahead there: they take the endpoint's time and memory, and those of the prompts
    /// after this one.
    double copy_factor = 2.0;
    /// Endpoints beyond these, in the same order for all gateways, that may be taken where the wait that is
    /// saved is longer than reading the shared part again: so many times its tokens, and at least so long at
    /// the stated rate.
    std::size_t spill_endpoints = 3;
    double spill_factor = 8.0;
    double spill_seconds = 0.2;
    /// Prompt tokens that may be ahead of a request at its endpoint, as time at the stated rate; more are
    /// held by the gateway, where they can still be ordered, refused and placed elsewhere.
    double window_seconds = 0.7;
    /// Multiple of the stated rate above which an endpoint gets no more. Prompts are read between the tokens
    /// of running requests; an endpoint that reads all the time generates too slowly for streams to end in
    /// time.
    double rate_factor = 1.8;
    /// The same bounds for requests beyond their accounts' fair shares. What lies between is kept for
    /// accounts within theirs, which would wait behind the others at the endpoint, where nothing can be
    /// ordered any more.
    double excess_window_seconds = 0.22;
    double excess_rate_factor = 1.6;
    /// Part of the excess bounds that is open to accounts beyond even their share of what is done at present:
    /// an endpoint with so little to do is not needed by others.
    double beyond_part = 0.3;
};

/// Takes the first of the few endpoints that rendezvous hashing gives to the longest shared part of the
/// prompt, so that all gateways agree on where it is kept without talking, and another one where the wait
/// that it saves is worth reading the part again. Immutable.
class affinity_placement final : public placement_policy {
public:
    explicit affinity_placement(const affinity_options& options) : options_{options} {}

    [[nodiscard]] placement choose(const placement_request& request,
                                   std::span<const endpoint_load> endpoints) const override;

private:
    /// Returns what speaks against the endpoint at place `rank` for the shared part, as tokens ahead there.
    [[nodiscard]] double copy_penalty(const placement_request& request, const endpoint_load& endpoint,
                                      std::size_t rank) const;

    affinity_options options_;
};

} // namespace hemlocknotch::gateway
