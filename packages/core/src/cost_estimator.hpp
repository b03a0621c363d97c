#pragma once

#include <hemlocknotch/core/account_key.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hemlocknotch {

/// Learns what requests cost, for each profile and client account, as exponentially weighted means. Where
/// callers give hints, it learns the ratio of cost to hint. Bounded by the profiles and accounts of the
/// configurations in force.
class cost_estimator {
public:
    /// Returns the estimated cost of a request; `initial` where nothing is known yet. Always above zero.
    [[nodiscard]] double estimate(std::string_view profile, account_key client_account,
                                  std::optional<double> hint, double initial) const;

    /// Takes in the true cost of a request.
    void learn(std::string_view profile, account_key client_account, std::optional<double> hint, double cost);

private:
    struct mean {
        double cost = 0.0;
        double cost_to_hint = 0.0;
    };

    std::map<std::string, std::map<account_key, mean>, std::less<>> means_;
};

} // namespace hemlocknotch
