#include "wrenusher/testbed/linear_fit.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher::testbed {

LinearFit fit_line(std::vector<Point> points) {
  LinearFit f;
  f.points = points.size();
  if (points.empty()) return f;
  std::sort(points.begin(), points.end(), [](const Point& a, const Point& b) { return a.x < b.x; });
  const auto n = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Point& p : points) {
    mean_x += p.x / n;
    mean_y += p.y / n;
  }
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const Point& p : points) {
    xx += (p.x - mean_x) * (p.x - mean_x);
    xy += (p.x - mean_x) * (p.y - mean_y);
    yy += (p.y - mean_y) * (p.y - mean_y);
  }
  f.slope = xx > 0 ? xy / xx : 0;
  f.base = mean_y - f.slope * mean_x;
  double off = 0;
  double most = 0;
  for (const Point& p : points) {
    const double residual = p.y - f.base - f.slope * p.x;
    off += residual * residual;
    most = std::max(most, std::abs(residual));
  }
  f.fit = yy > 0 ? 1 - off / yy : 1;
  const auto [least_y, most_y] = std::minmax_element(
      points.begin(), points.end(), [](const Point& a, const Point& b) { return a.y < b.y; });
  const double range = most_y->y - least_y->y;
  f.residual = range > 0 ? most / range : 0;
  if (points.size() >= 3) {
    const auto slope_between = [](const Point& a, const Point& b) {
      return b.x > a.x ? (b.y - a.y) / (b.x - a.x) : 0;
    };
    const double first = slope_between(points[0], points[1]);
    const double last = slope_between(points[points.size() - 2], points.back());
    f.worse_than_linear = f.slope > 0 && last > kBendThreshold * std::max(first, 0.0) && last > 0;
  }
  return f;
}

}  // namespace wrenusher::testbed
