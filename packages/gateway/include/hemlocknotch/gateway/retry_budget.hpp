#pragma once

#include <cstddef>

namespace hemlocknotch::gateway {

/// Limit of the attempts of one service other than the first of each request, over the whole fleet and in any
/// time window: a share of the requests plus a fixed reserve.
struct retry_bound {
    /// Further attempts allowed per request.
    double ratio = 0.2;
    /// Further attempts allowed in addition, over the whole fleet.
    double reserve = 50.0;
};

/// One gateway's part of the fleet's limit of retries: a token bucket that is filled by requests and starts
/// full. In any time window, all gateways together spend at most their capacities plus what the requests add.
/// Used by one thread at a time.
class retry_budget {
public:
    /// Fraction of the reserve that is distributed to the gateways. The rest is a margin for gateways that
    /// are not known yet.
    static constexpr double reserve_share = 0.6;
    /// Fraction of the ratio that is used. The rest is a margin for requests that are counted in another time
    /// window.
    static constexpr double ratio_share = 0.8;

    /// Precondition: `gateways` is at least 1.
    retry_budget(const retry_bound& bound, std::size_t gateways);

    /// Changes the number of gateways that share the limit. Tokens above the new capacity are discarded.
    void set_gateways(std::size_t gateways);

    /// Counts a caller's request.
    void on_request();

    /// Spends one retry if there is one. Returns whether there was.
    bool try_spend();

    /// Returns the number of retries that may be spent now.
    [[nodiscard]] double available() const { return tokens_; }

private:
    retry_bound bound_;
    double capacity_;
    double tokens_;
};

} // namespace hemlocknotch::gateway
