#pragma once
// A line through measured points, with what says whether a line is what they lie on.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

namespace wrenusher::testbed {

struct Point {
  double x = 0;
  double y = 0;
};

struct LinearFit {
  double slope = 0;
  double base = 0;      ///< at x = 0
  double fit = 0;       ///< coefficient of determination (R squared); 1: all points lie on the line
  double residual = 0;  ///< the largest, as a part of the range of y; 0 where that is none
  /// The last stretch is steeper than the first by more than `kBend`, and the points rise.
  bool worse_than_linear = false;
  std::size_t points = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LinearFit, slope, base, fit, residual, worse_than_linear, points)

/// How much steeper the last stretch has to be than the first.
inline constexpr double kBendThreshold = 1.5;

/// Least squares; points in any order. Fewer than two different x give a slope of 0.
LinearFit fit_line(std::vector<Point> points);

}  // namespace wrenusher::testbed
