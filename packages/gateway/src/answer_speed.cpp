#include <hemlocknotch/gateway/answer_speed.hpp>

#include <algorithm>
#include <cmath>

namespace hemlocknotch::gateway {
namespace {

constexpr double quantile = 0.75;
/// Relative step of the estimate for each answer: some 20 answers move it by half.
constexpr double step = 0.1;
/// Least estimate, so that one can grow from an answer without measurable time.
constexpr double min_estimate = 1e-9;

} // namespace

bool answer_speed::is_slow(std::string_view route, double time) const
{
    const auto it = routes_.find(route);
    return it != routes_.end() && it->second.answers >= min_answers &&
           time > slow_factor * it->second.upper_quartile;
}

void answer_speed::note(std::string_view route, double time)
{
    auto it = routes_.find(route);
    if (it == routes_.end()) {
        if (routes_.size() >= max_routes) {
            return;
        }
        it = routes_.emplace(std::string{route}, estimate{std::max(time, min_estimate), 0}).first;
    }
    auto& known = it->second;
    ++known.answers;
    // Rises by `quantile` of a step where the answer was slower, and falls by the rest where it was not, so
    // that it comes to rest where `quantile` of the answers are faster.
    const auto direction = time > known.upper_quartile ? quantile : quantile - 1.0;
    known.upper_quartile *= std::exp(step * direction);
}

} // namespace hemlocknotch::gateway
