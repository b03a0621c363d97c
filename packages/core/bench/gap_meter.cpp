#include "gap_meter.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hemlocknotch::bench {

gap_meter::gap_meter(std::vector<double> weights)
    : weights_{std::move(weights)},
      service_(weights_.size(), 0.0),
      is_backlogged_(weights_.size(), true),
      pairs_(weights_.size(), std::vector<difference_range>(weights_.size()))
{
}

void gap_meter::on_service(std::size_t n, double units)
{
    service_.at(n) += units / weights_.at(n);
}

void gap_meter::set_backlogged(std::size_t n, bool is_backlogged)
{
    if (is_backlogged_.at(n) == is_backlogged) {
        return;
    }
    sample();
    is_backlogged_.at(n) = is_backlogged;
    for (std::size_t k = 0; k < weights_.size(); ++k) {
        pairs_[std::min(n, k)][std::max(n, k)].is_open = false;
    }
}

void gap_meter::sample()
{
    for (std::size_t i = 0; i < weights_.size(); ++i) {
        for (std::size_t k = i + 1; k < weights_.size(); ++k) {
            if (!is_backlogged_[i] || !is_backlogged_[k]) {
                continue;
            }
            difference_range& it = pairs_[i][k];
            const double difference = service_[i] - service_[k];
            if (!std::exchange(it.is_open, true)) {
                it.lowest = difference;
                it.highest = difference;
            }
            it.lowest = std::min(it.lowest, difference);
            it.highest = std::max(it.highest, difference);
            gap_ = std::max(gap_, it.highest - it.lowest);
        }
    }
}

double gap_meter::jain_index() const
{
    const double sum = std::accumulate(service_.begin(), service_.end(), 0.0);
    const double squares = std::inner_product(service_.begin(), service_.end(), service_.begin(), 0.0);
    const auto n = static_cast<double>(service_.size());
    return squares > 0.0 ? sum * sum / (n * squares) : 1.0;
}

double gap_meter::total() const
{
    return std::inner_product(service_.begin(), service_.end(), weights_.begin(), 0.0);
}

} // namespace hemlocknotch::bench
