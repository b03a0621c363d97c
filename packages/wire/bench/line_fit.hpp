#pragma once

#include <span>

namespace hemlocknotch::bench {

/// One measured point.
struct point {
    double x = 0.0;
    double y = 0.0;
};

/// A straight line fitted to points by least squares.
struct line_fit {
    double slope = 0.0;
    /// Standard error of the slope.
    double slope_error = 0.0;
    double intercept = 0.0;
};

/// Fits a line by least squares. Precondition: at least three points, not all with the same `x`.
line_fit fit_line(std::span<const point> points);

} // namespace hemlocknotch::bench
