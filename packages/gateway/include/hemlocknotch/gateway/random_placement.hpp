#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>

namespace hemlocknotch::gateway {

/// Chooses any endpoint with room, each with the same probability. For services whose requests share no
/// prompt parts and run for a shorter time than the reports between gateways are apart: by loads that old
/// every gateway would choose the same endpoint until the next reports (Mitzenmacher, "How Useful Is Old
/// Information?", IEEE Transactions on Parallel and Distributed Systems, 2000). Immutable.
class random_placement final : public placement_policy {
public:
    /// Requests above its slots that an endpoint is sent, so that it has the next one at hand when a slot
    /// becomes free.
    static constexpr unsigned requests_ahead = 2;

    [[nodiscard]] placement choose(const placement_request& request,
                                   std::span<const endpoint_load> endpoints) const override;
};

} // namespace hemlocknotch::gateway
