#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>

#include <cstddef>

namespace hemlocknotch::gateway {

/// Settings of `affinity_placement`. Bounds are given as time at the configured rate of one endpoint, in
/// tokens per second, so that they fit endpoints of any speed. docs/MEASUREMENTS.md has the
/// paired runs behind the defaults.
struct affinity_options {
    /// Endpoints over which requests with the same shared part are spread. Two choices even out most of the
    /// load (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001); each further
    /// endpoint has to read every shared part once more.
    std::size_t fanout = 2;
    /// Weight of shared tokens that are not cached at an endpoint of the fanout other than the first. They
    /// count as this many pending tokens each, because reading them again costs the endpoint's time and cache
    /// memory and delays the prompts behind this one.
    double copy_factor = 2.0;
    /// Number of further endpoints after the fanout, in the same order at all gateways, that may take a
    /// request when the wait at the others is long enough. The cost of such an endpoint is increased by
    /// `spill_factor` times the shared tokens that it has to read again, and by at least `spill_seconds` at
    /// the configured rate.
    std::size_t spill_endpoints = 3;
    double spill_factor = 8.0;
    double spill_seconds = 0.2;
    /// Limit of the pending prompt tokens at an endpoint for it to get another request, as seconds at the
    /// configured rate. Other requests stay in the gateway, where they can still be reordered, refused or
    /// placed elsewhere.
    double window_seconds = 0.7;
    /// Multiple of the configured rate above which an endpoint gets no more requests. An endpoint reads
    /// prompts between the tokens of running requests; one that reads all the time generates too slowly for
    /// its streams to end in time.
    double rate_factor = 1.8;
    /// The same two bounds for requests of accounts over their fair share. The difference is reserved for
    /// accounts within their share, whose requests would otherwise wait behind the others at the endpoint,
    /// where they can no longer be reordered.
    double excess_window_seconds = 0.22;
    double excess_rate_factor = 1.6;
    /// Factor on the two bounds above for accounts that are over their share of the current throughput as
    /// well. An endpoint with so little to do is not needed by other accounts.
    double beyond_part = 0.3;
};

/// Places a request by its longest shared prompt part. Rendezvous hashing ranks the endpoints for that part,
/// so that all gateways agree without communication on where it is cached. The policy prefers the first
/// endpoints in this order, and takes a later one when the wait that this saves outweighs reading the part
/// again. Immutable.
class affinity_placement final : public placement_policy {
public:
    explicit affinity_placement(const affinity_options& options) : options_{options} {}

    [[nodiscard]] std::size_t considered_endpoints(const placement_request& request) const override;
    [[nodiscard]] placement choose(const placement_request& request,
                                   std::span<const endpoint_load> endpoints) const override;

private:
    /// Returns the cost, in pending tokens, of reading the shared part again at the endpoint with position
    /// `rank` in the hash order.
    [[nodiscard]] double copy_penalty(const placement_request& request, const endpoint_load& endpoint,
                                      std::size_t rank) const;

    affinity_options options_;
};

} // namespace hemlocknotch::gateway
