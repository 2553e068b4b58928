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

const Estimator::JobSample* Estimator::find_sample(const JobSpec& spec) const {
  const auto job_class = job_classes_.find(spec.job_class);
  if (job_class == job_classes_.end()) return nullptr;
  const auto& jobs = job_class->second.jobs;
  const auto it = std::find_if(jobs.begin(), jobs.end(),
                               [&](const JobSample& sample) { return sample.job_id == spec.job_id; });
  return it == jobs.end() ? nullptr : &*it;
}

double Estimator::typical_ratio(const std::deque<JobSample>& jobs) {
  std::vector<double> means;
  means.reserve(jobs.size());
  for (const JobSample& sample : jobs) means.push_back(sample.mean());
  return cautious_median(std::move(means), kPrior);
}

void Estimator::Host::update_speed() {
  speed = std::clamp(std::exp(-cautious_median({ratios.begin(), ratios.end()}, kHostPrior)), 0.2, 1.5);
}

std::vector<std::string> Estimator::job_classes() const {
  std::vector<std::string> out;
  for (const auto& [name, q] : job_classes_) out.push_back(name);
  return out;
}

std::pair<int, double> Estimator::slowness(const std::string& host) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return {0, 0};
  const auto& ratios = it->second.ratios;
  return {static_cast<int>(ratios.size()), cautious_median({ratios.begin(), ratios.end()}, 0)};
}

void Estimator::adopt_class(const std::string& job_class, std::deque<JobSample> jobs) {
  std::erase_if(jobs, [](const JobSample& sample) { return sample.tasks <= 0; });
  while (jobs.size() > kJobs) jobs.pop_front();
  if (jobs.empty()) return;
  JobClass& history = job_classes_[job_class];
  history.jobs = std::move(jobs);
  history.typical_ratio = typical_ratio(history.jobs);
  ++history.version;
}

void Estimator::adopt_host(const std::string& host, int tasks, double slowness) {
  if (tasks <= 0) return;
  Host& record = hosts_[host];
  record.ratios.assign(std::min<std::size_t>(static_cast<std::size_t>(tasks), kHostTasks), slowness);
  record.update_speed();
}

void Estimator::record_run(const JobSpec& spec, const std::string& host, Micros took) {
  if (spec.expected_runtime.count() <= 0 || took.count() <= 0) return;
  const double ratio = std::log(to_seconds(took) / to_seconds(spec.expected_runtime));
  if (const JobSample* sample = find_sample(spec)) {
    // Against other tasks of the same job only the machine differs.
    auto& record = hosts_[host];
    record.ratios.push_back(ratio - sample->mean());
    if (record.ratios.size() > kHostTasks) record.ratios.pop_front();
    record.update_speed();
  }
  JobClass& seen_there = job_classes_[spec.job_class];
  auto& queue = seen_there.jobs;
  auto it = std::find_if(queue.begin(), queue.end(),
                         [&](const JobSample& sample) { return sample.job_id == spec.job_id; });
  if (it == queue.end()) {
    queue.push_back({spec.job_id, 0, 0});
    if (queue.size() > kJobs) queue.pop_front();
    it = std::prev(queue.end());
  }
  it->sum += ratio;
  ++it->tasks;
  seen_there.typical_ratio = typical_ratio(queue);
  ++seen_there.version;
}

Micros Estimator::estimate(const JobSpec& spec) const {
  if (spec.expected_runtime.count() <= 0) return kUnknown;
  const auto job_class = job_classes_.find(spec.job_class);
  double log_ratio = job_class == job_classes_.end() ? 0 : job_class->second.typical_ratio;
  // What the job's own tasks showed is worth more than what its queue usually does.
  if (const JobSample* sample = find_sample(spec))
    log_ratio = (log_ratio + sample->sum) / (1 + sample->tasks);
  return from_seconds(to_seconds(spec.expected_runtime) * std::exp(log_ratio));
}

std::uint64_t Estimator::version(const std::string& job_class) const {
  const auto it = job_classes_.find(job_class);
  return it == job_classes_.end() ? 0 : it->second.version;
}

double Estimator::speed(const std::string& host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? 1.0 : it->second.speed;
}

}  // namespace wrenusher::estimates
