#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>

namespace hemlocknotch::gateway {

/// Chooses the endpoint with the fewest running requests per slot. For services whose requests share no
/// prompt parts; also the baseline for services whose requests do. Immutable.
class least_loaded_placement final : public placement_policy {
public:
    /// Requests above its slots that an endpoint is sent, so that it has the next one at hand when a slot
    /// becomes free.
    static constexpr unsigned requests_ahead = 2;

    [[nodiscard]] placement choose(const placement_request& request,
                                   std::span<const endpoint_load> endpoints) const override;
};

} // namespace hemlocknotch::gateway
