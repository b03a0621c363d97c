#pragma once

#include <hemlocknotch/core/account_key.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hemlocknotch {

/// Estimates the cost of requests by exponentially weighted means for each profile and client account. For
/// requests with a hint of the caller, the ratio of cost to hint is averaged. Its size is bounded by the
/// number of profiles and accounts of the configurations in force.
class cost_estimator {
public:
    /// Returns the estimated cost of a request; `initial` if no cost is known yet. Always above zero.
    [[nodiscard]] double estimate(std::string_view profile, account_key client_account,
                                  std::optional<double> hint, double initial) const;

    /// Records the true cost of a request.
    void learn(std::string_view profile, account_key client_account, std::optional<double> hint, double cost);

private:
    struct mean {
        double cost = 0.0;
        double cost_to_hint = 0.0;
    };

    std::map<std::string, std::map<account_key, mean>, std::less<>> means_;
};

} // namespace hemlocknotch
