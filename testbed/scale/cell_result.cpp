#include "wrenusher/testbed/cell_result.hpp"

#include <algorithm>

namespace wrenusher::testbed {

LatencySummary waits_of(std::vector<double> seconds) {
  LatencySummary w;
  if (seconds.empty()) return w;
  std::sort(seconds.begin(), seconds.end());
  const auto at = [&](double share) {
    return seconds[static_cast<std::size_t>(share * static_cast<double>(seconds.size() - 1))];
  };
  w.count = seconds.size();
  w.p50 = at(0.5);
  w.p95 = at(0.95);
  w.p99 = at(0.99);
  w.most = seconds.back();
  return w;
}

}  // namespace wrenusher::testbed
