#include "wrenusher/estimator.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher {

namespace {
constexpr std::size_t kWindow = 31;
/// Before anything was seen and where the owner says nothing.
constexpr Micros kUnknown = from_seconds(60);
constexpr double kPrior = 3;
}  // namespace

void Estimator::push(Window& w, double x) {
  w.push_back(x);
  if (w.size() > kWindow) w.pop_front();
}

double Estimator::median(const Window& w, double prior_weight) {
  if (w.empty()) return 0;
  std::vector<double> sorted(w.begin(), w.end());
  const auto mid = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), mid, sorted.end());
  const auto n = static_cast<double>(w.size());
  return *mid * n / (n + prior_weight);
}

void Estimator::ran(const JobSpec& spec, const std::string& host, Micros took) {
  if (spec.expected.count() <= 0 || took.count() <= 0) return;
  const double ratio = std::log(to_seconds(took) / to_seconds(spec.expected));
  const auto it = queues_.find(spec.queue);
  const double usual = it == queues_.end() ? 0 : median(it->second, kPrior);
  push(hosts_[host], ratio - usual);
  push(queues_[spec.queue], ratio);
}

Micros Estimator::estimate(const JobSpec& spec) const {
  if (spec.expected.count() <= 0) return kUnknown;
  const auto it = queues_.find(spec.queue);
  const double usual = it == queues_.end() ? 0 : median(it->second, kPrior);
  return from_seconds(to_seconds(spec.expected) * std::exp(usual));
}

double Estimator::speed(const std::string& host) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return 1.0;
  // One job's tasks share its estimate's error, so a machine is believed slow only after many of them.
  return std::clamp(std::exp(-median(it->second, 12)), 0.2, 1.5);
}

}  // namespace wrenusher
