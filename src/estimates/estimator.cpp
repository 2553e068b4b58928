#include "wrenusher/estimates/estimator.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher::estimates {

namespace {

constexpr std::size_t kJobs = 25;
constexpr std::size_t kHostTasks = 31;
/// Before anything was seen and where the owner says nothing.
constexpr Micros kUnknown = from_seconds(60);
/// So many jobs' worth of belief that owners are right.
constexpr double kPrior = 4;
/// One job's tasks share its estimate's error, so a machine is believed slow only after many of them.
constexpr double kHostPrior = 12;

/// The median, little moved by a few odd values and drawn towards 0 while there are few at all.
double cautious_median(std::vector<double> values, double prior) {
  if (values.empty()) return 0;
  const auto n = static_cast<double>(values.size());
  const auto mid = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), mid, values.end());
  return *mid * n / (n + prior);
}

}  // namespace

const Estimator::Seen* Estimator::seen(const JobSpec& spec) const {
  const auto queue = queues_.find(spec.queue);
  if (queue == queues_.end()) return nullptr;
  const auto& jobs = queue->second.jobs;
  const auto it = std::find_if(jobs.begin(), jobs.end(), [&](const Seen& s) { return s.ref == spec.ref; });
  return it == jobs.end() ? nullptr : &*it;
}

double Estimator::usual(const std::deque<Seen>& jobs) {
  std::vector<double> means;
  for (const Seen& s : jobs) means.push_back(s.mean());
  return cautious_median(std::move(means), kPrior);
}

void Estimator::Host::reckon() {
  speed = std::clamp(std::exp(-cautious_median({ratios.begin(), ratios.end()}, kHostPrior)), 0.2, 1.5);
}

std::vector<std::string> Estimator::queues() const {
  std::vector<std::string> out;
  for (const auto& [name, q] : queues_) out.push_back(name);
  return out;
}

std::pair<int, double> Estimator::slowness(const std::string& host) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return {0, 0};
  const auto& ratios = it->second.ratios;
  return {static_cast<int>(ratios.size()), cautious_median({ratios.begin(), ratios.end()}, 0)};
}

void Estimator::inherit(const std::string& queue, std::deque<Seen> jobs) {
  std::erase_if(jobs, [](const Seen& s) { return s.tasks <= 0; });
  while (jobs.size() > kJobs) jobs.pop_front();
  if (jobs.empty()) return;
  Queue& q = queues_[queue];
  q.jobs = std::move(jobs);
  q.usual = usual(q.jobs);
  ++q.version;
}

void Estimator::inherit_host(const std::string& host, int tasks, double slowness) {
  if (tasks <= 0) return;
  Host& h = hosts_[host];
  h.ratios.assign(std::min<std::size_t>(static_cast<std::size_t>(tasks), kHostTasks), slowness);
  h.reckon();
}

void Estimator::ran(const JobSpec& spec, const std::string& host, Micros took) {
  if (spec.expected.count() <= 0 || took.count() <= 0) return;
  const double ratio = std::log(to_seconds(took) / to_seconds(spec.expected));
  if (const Seen* s = seen(spec)) {
    // Against other tasks of the same job only the machine differs.
    auto& h = hosts_[host];
    h.ratios.push_back(ratio - s->mean());
    if (h.ratios.size() > kHostTasks) h.ratios.pop_front();
    h.reckon();
  }
  Queue& seen_there = queues_[spec.queue];
  auto& queue = seen_there.jobs;
  auto it = std::find_if(queue.begin(), queue.end(), [&](const Seen& s) { return s.ref == spec.ref; });
  if (it == queue.end()) {
    queue.push_back({spec.ref, 0, 0});
    if (queue.size() > kJobs) queue.pop_front();
    it = std::prev(queue.end());
  }
  it->sum += ratio;
  ++it->tasks;
  seen_there.usual = usual(queue);
  ++seen_there.version;
}

Micros Estimator::estimate(const JobSpec& spec) const {
  if (spec.expected.count() <= 0) return kUnknown;
  const auto queue = queues_.find(spec.queue);
  double log_ratio = queue == queues_.end() ? 0 : queue->second.usual;
  // What the job's own tasks showed is worth more than what its queue usually does.
  if (const Seen* s = seen(spec)) log_ratio = (log_ratio + s->sum) / (1 + s->tasks);
  return from_seconds(to_seconds(spec.expected) * std::exp(log_ratio));
}

std::uint64_t Estimator::version(const std::string& queue) const {
  const auto it = queues_.find(queue);
  return it == queues_.end() ? 0 : it->second.version;
}

double Estimator::speed(const std::string& host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? 1.0 : it->second.speed;
}

}  // namespace wrenusher::estimates
