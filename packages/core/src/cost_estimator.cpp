#include "cost_estimator.hpp"

#include <algorithm>

namespace hemlocknotch {
namespace {

constexpr double new_value_share = 0.1;
constexpr double min_estimate = 1e-3;

void update_mean(double& mean, double value)
{
    mean = mean > 0.0 ? mean + new_value_share * (value - mean) : value;
}

} // namespace

double cost_estimator::estimate(std::string_view profile, account_key client_account,
                                std::optional<double> hint, double initial) const
{
    mean known;
    const auto by_profile = means_.find(profile);
    if (by_profile != means_.end()) {
        const auto it = by_profile->second.find(client_account);
        known = it == by_profile->second.end() ? mean{} : it->second;
    }
    if (hint) {
        const double ratio = known.cost_to_hint > 0.0 ? known.cost_to_hint : 1.0;
        return std::max(min_estimate, *hint * ratio);
    }
    return std::max(min_estimate, known.cost > 0.0 ? known.cost : initial);
}

void cost_estimator::learn(std::string_view profile, account_key client_account, std::optional<double> hint,
                           double cost)
{
    if (cost <= 0.0) {
        return;
    }
    auto by_profile = means_.find(profile);
    if (by_profile == means_.end()) {
        by_profile = means_.emplace(std::string{profile}, std::map<account_key, mean>{}).first;
    }
    mean& known = by_profile->second[client_account];
    update_mean(known.cost, cost);
    if (hint && *hint > 0.0) {
        update_mean(known.cost_to_hint, cost / *hint);
    }
}

} // namespace hemlocknotch
