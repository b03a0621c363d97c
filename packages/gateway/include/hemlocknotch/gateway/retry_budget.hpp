#pragma once

#include <cstddef>

namespace hemlocknotch::gateway {

/// Bound on sends of one service beyond the first of each request, over the whole fleet and any window: a
/// share of its requests plus a fixed reserve.
struct retry_bound {
    /// Sends allowed for each request.
    double ratio = 0.2;
    /// Sends allowed beside, fleet-wide.
    double reserve = 50.0;
};

/// One gateway's part of the fleet's bound on retries: a token bucket that requests fill and that starts
/// full. In any window all gateways together spend at most their capacities plus what requests put in. Used
/// by one thread at a time.
class retry_budget {
public:
    /// Part of the reserve that is handed out; the rest covers gateways that are not known yet.
    static constexpr double reserve_share = 0.6;
    /// Part of the ratio that is used; the rest covers requests counted in another window.
    static constexpr double ratio_share = 0.8;

    /// Precondition: `gateways` is at least 1.
    retry_budget(const retry_bound& bound, std::size_t gateways);

    /// Changes the number of gateways that share the bound. What is above the new part is dropped.
    void set_gateways(std::size_t gateways);

    /// Counts a caller's request.
    void on_request();

    /// Takes one retry. Returns whether there was one.
    bool try_spend();

    /// Returns the retries left.
    [[nodiscard]] double available() const { return tokens_; }

private:
    retry_bound bound_;
    double capacity_;
    double tokens_;
};

} // namespace hemlocknotch::gateway
