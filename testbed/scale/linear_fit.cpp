#include "wrenusher/testbed/linear_fit.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher::testbed {

LinearFit fit_line(std::vector<Point> points) {
  LinearFit line;
  line.points = points.size();
  if (points.empty()) return line;
  std::sort(points.begin(), points.end(), [](const Point& a, const Point& b) { return a.x < b.x; });
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Point& p : points) {
    mean_x += p.x / count;
    mean_y += p.y / count;
  }
  double sum_xx = 0;
  double sum_xy = 0;
  double sum_yy = 0;
  for (const Point& p : points) {
    sum_xx += (p.x - mean_x) * (p.x - mean_x);
    sum_xy += (p.x - mean_x) * (p.y - mean_y);
    sum_yy += (p.y - mean_y) * (p.y - mean_y);
  }
  line.slope = sum_xx > 0 ? sum_xy / sum_xx : 0;
  line.base = mean_y - line.slope * mean_x;
  double squared_residuals = 0;
  double max_residual = 0;
  for (const Point& p : points) {
    const double residual = p.y - line.base - line.slope * p.x;
    squared_residuals += residual * residual;
    max_residual = std::max(max_residual, std::abs(residual));
  }
  line.fit = sum_yy > 0 ? 1 - squared_residuals / sum_yy : 1;
  const auto [lowest, highest] = std::minmax_element(
      points.begin(), points.end(), [](const Point& a, const Point& b) { return a.y < b.y; });
  const double range = highest->y - lowest->y;
  line.residual = range > 0 ? max_residual / range : 0;
  if (points.size() >= 3) {
    const auto slope_between = [](const Point& a, const Point& b) {
      return b.x > a.x ? (b.y - a.y) / (b.x - a.x) : 0;
    };
    const double first = slope_between(points[0], points[1]);
    const double last = slope_between(points[points.size() - 2], points.back());
    line.worse_than_linear = line.slope > 0 && last > kBendThreshold * std::max(first, 0.0) && last > 0;
  }
  return line;
}

}  // namespace wrenusher::testbed
