#pragma once
// Fits a line to measured points and describes how well the line fits.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

namespace wrenusher::testbed {

/// A measured point.
struct Point {
  double x = 0;
  double y = 0;
};

/// A fitted line and the quality of the fit.
struct LinearFit {
  double slope = 0;
  double base = 0;      ///< y of the line at x = 0
  double fit = 0;       ///< coefficient of determination (R squared); 1: all points lie on the line
  double residual = 0;  ///< the largest, as a share of the range of y; 0 if all y are equal
  /// Whether the fitted line rises and the slope between the last two points is more than `kBendThreshold`
  /// times the slope between the first two.
  bool worse_than_linear = false;
  std::size_t points = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LinearFit, slope, base, fit, residual, worse_than_linear, points)

/// Ratio of the slope between the last two points to the slope between the first two above which a series
/// grows faster than linearly.
inline constexpr double kBendThreshold = 1.5;

/// Returns the least-squares line through points in any order. With fewer than two different x the slope is
/// 0.
LinearFit fit_line(std::vector<Point> points);

}  // namespace wrenusher::testbed
