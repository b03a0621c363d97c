#include <hemlocknotch/standins/fairness_meter.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocknotch::standins {

fairness_meter::fairness_meter(std::vector<double> weights)
    : weights_{std::move(weights)},
      service_(weights_.size(), 0.0),
      is_backlogged_(weights_.size(), false),
      ranges_(weights_.size() * weights_.size())
{
    assert(std::all_of(weights_.begin(), weights_.end(), [](double it) { return it > 0; }));
}

void fairness_meter::set_backlogged(std::size_t account, bool is_backlogged)
{
    if (is_backlogged_[account] == is_backlogged) {
        return;
    }
    is_backlogged_[account] = is_backlogged;
    if (!is_backlogged) {
        return;
    }
    for (std::size_t other = 0; other < weights_.size(); ++other) {
        if (other != account && is_backlogged_[other]) {
            const double start = difference(account, other);
            range_of(account, other) = {start, start};
        }
    }
}

void fairness_meter::add_service(std::size_t account, double units)
{
    service_[account] += units / weights_[account];
    if (!is_backlogged_[account]) {
        return;
    }
    for (std::size_t other = 0; other < weights_.size(); ++other) {
        if (other == account || !is_backlogged_[other]) {
            continue;
        }
        pair_range& range = range_of(account, other);
        const double now = difference(account, other);
        range.lowest = std::min(range.lowest, now);
        range.highest = std::max(range.highest, now);
        largest_gap_ = std::max(largest_gap_, range.highest - range.lowest);
    }
}

fairness_meter::pair_range& fairness_meter::range_of(std::size_t a, std::size_t b)
{
    return ranges_[std::min(a, b) * weights_.size() + std::max(a, b)];
}

double fairness_meter::difference(std::size_t a, std::size_t b) const
{
    return service_[std::min(a, b)] - service_[std::max(a, b)];
}

double jain_index(const std::vector<double>& values)
{
    double sum = 0.0;
    double squares = 0.0;
    for (const double it : values) {
        sum += it;
        squares += it * it;
    }
    return squares == 0.0 ? 1.0 : sum * sum / (static_cast<double>(values.size()) * squares);
}

} // namespace hemlocknotch::standins
