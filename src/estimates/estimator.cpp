#include "wrenusher/estimates/estimator.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher::estimates {

namespace {

constexpr std::size_t kMaxJobsPerClass = 25;
constexpr std::size_t kMaxRatiosPerHost = 31;
/// Estimate for a job without an expected run time.
constexpr Micros kDefaultRunTime = from_seconds(60);
/// Weight, in jobs, of the prior assumption that the owners' estimates are right.
constexpr double kJobPriorWeight = 4;
/// Weight, in tasks, of the prior assumption that a machine has speed 1.0. It is large because one job's
/// tasks share the error of its estimate: a machine counts as slow only after many tasks.
constexpr double kHostPriorWeight = 12;

/// Returns the median, which is robust against a few outliers, shrunk towards 0 while there are few values.
double shrunken_median(std::vector<double> values, double prior_weight) {
  if (values.empty()) return 0;
  const auto count = static_cast<double>(values.size());
  const auto mid = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), mid, values.end());
  return *mid * count / (count + prior_weight);
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

double Estimator::typical_log_ratio(const std::deque<JobSample>& jobs) {
  std::vector<double> means;
  means.reserve(jobs.size());
  for (const JobSample& sample : jobs) means.push_back(sample.mean());
  return shrunken_median(std::move(means), kJobPriorWeight);
}

void Estimator::Host::update_speed() {
  speed = std::clamp(std::exp(-shrunken_median({log_ratios.begin(), log_ratios.end()}, kHostPriorWeight)),
                     0.2, 1.5);
}

std::vector<std::string> Estimator::job_classes() const {
  std::vector<std::string> out;
  for (const auto& [name, history] : job_classes_) out.push_back(name);
  return out;
}

std::pair<int, double> Estimator::slowness(const std::string& host) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return {0, 0};
  const auto& log_ratios = it->second.log_ratios;
  return {static_cast<int>(log_ratios.size()), shrunken_median({log_ratios.begin(), log_ratios.end()}, 0)};
}

void Estimator::adopt_class(const std::string& job_class, std::deque<JobSample> jobs) {
  std::erase_if(jobs, [](const JobSample& sample) { return sample.tasks <= 0; });
  while (jobs.size() > kMaxJobsPerClass) jobs.pop_front();
  if (jobs.empty()) return;
  JobClass& history = job_classes_[job_class];
  history.jobs = std::move(jobs);
  history.typical_log_ratio = typical_log_ratio(history.jobs);
  ++history.version;
}

void Estimator::adopt_host(const std::string& host, int tasks, double slowness) {
  if (tasks <= 0) return;
  Host& host_record = hosts_[host];
  host_record.log_ratios.assign(std::min<std::size_t>(static_cast<std::size_t>(tasks), kMaxRatiosPerHost),
                                slowness);
  host_record.update_speed();
}

void Estimator::record_run(const JobSpec& spec, const std::string& host, Micros run_time) {
  if (spec.expected_runtime.count() <= 0 || run_time.count() <= 0) return;
  const double log_ratio = std::log(to_seconds(run_time) / to_seconds(spec.expected_runtime));
  if (const JobSample* sample = find_sample(spec)) {
    // Tasks of one job share the error of its expected run time, so a deviation from their mean is attributed
    // to the machine.
    auto& host_record = hosts_[host];
    host_record.log_ratios.push_back(log_ratio - sample->mean());
    if (host_record.log_ratios.size() > kMaxRatiosPerHost) host_record.log_ratios.pop_front();
    host_record.update_speed();
  }
  JobClass& history = job_classes_[spec.job_class];
  auto& samples = history.jobs;
  auto it = std::find_if(samples.begin(), samples.end(),
                         [&](const JobSample& sample) { return sample.job_id == spec.job_id; });
  if (it == samples.end()) {
    samples.push_back({spec.job_id, 0, 0});
    if (samples.size() > kMaxJobsPerClass) samples.pop_front();
    it = std::prev(samples.end());
  }
  it->sum += log_ratio;
  ++it->tasks;
  history.typical_log_ratio = typical_log_ratio(samples);
  ++history.version;
}

Micros Estimator::estimate(const JobSpec& spec) const {
  if (spec.expected_runtime.count() <= 0) return kDefaultRunTime;
  const auto job_class = job_classes_.find(spec.job_class);
  double log_ratio = job_class == job_classes_.end() ? 0 : job_class->second.typical_log_ratio;
  // The samples of the job's own tasks weigh more than the typical ratio of its class.
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
