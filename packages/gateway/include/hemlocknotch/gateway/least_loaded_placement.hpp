#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>

namespace hemlocknotch::gateway {

/// Takes the endpoint with the least requests for each of its slots. For services whose requests have no
/// parts in common; also the baseline for those that have. Immutable.
class least_loaded_placement final : public placement_policy {
public:
    /// Requests beyond an endpoint's slots that are sent ahead, so that it need not wait for the next one.
    static constexpr unsigned requests_ahead = 2;

    [[nodiscard]] placement choose(const placement_request& request,
                                   std::span<const endpoint_load> endpoints) const override;
};

} // namespace hemlocknotch::gateway
