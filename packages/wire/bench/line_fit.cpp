#include "line_fit.hpp"

#include <cassert>
#include <cmath>

namespace hemlocknotch::bench {

line_fit fit_line(std::span<const point> points)
{
    assert(points.size() >= 3);
    const auto n = static_cast<double>(points.size());
    point mean;
    for (const point& it : points) {
        mean.x += it.x / n;
        mean.y += it.y / n;
    }
    double xx = 0.0;
    double xy = 0.0;
    for (const point& it : points) {
        xx += (it.x - mean.x) * (it.x - mean.x);
        xy += (it.x - mean.x) * (it.y - mean.y);
    }
    assert(xx > 0.0);
    line_fit fit;
    fit.slope = xy / xx;
    fit.intercept = mean.y - fit.slope * mean.x;
    double residual_sum = 0.0;
    for (const point& it : points) {
        const double error = it.y - fit.intercept - fit.slope * it.x;
        residual_sum += error * error;
    }
    fit.slope_error = std::sqrt(residual_sum / (n - 2.0) / xx);
    return fit;
}

} // namespace hemlocknotch::bench
