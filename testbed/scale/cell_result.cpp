#include "wrenusher/testbed/cell_result.hpp"

#include <algorithm>

namespace wrenusher::testbed {

LatencySummary waits_of(std::vector<double> seconds) {
  LatencySummary summary;
  if (seconds.empty()) return summary;
  std::sort(seconds.begin(), seconds.end());
  const auto percentile = [&](double share) {
    return seconds[static_cast<std::size_t>(share * static_cast<double>(seconds.size() - 1))];
  };
  summary.count = seconds.size();
  summary.p50 = percentile(0.5);
  summary.p95 = percentile(0.95);
  summary.p99 = percentile(0.99);
  summary.most = seconds.back();
  return summary;
}

}  // namespace wrenusher::testbed
