#include "wrenusher/leader/hint_adopter.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace wrenusher::leader {

namespace {

/// Limits on how far another leader's hint may delay a job's retries.
constexpr int kMaxInheritedRetries = 16;
constexpr time::Micros kMaxInheritedRetryPause = time::from_seconds(60);
/// A fetch that should be complete by the hint's age is assumed to have this share of the image left, until a
/// report shows that the image is present.
constexpr double kMinRemainingShare = 0.05;

/// Returns the machine's images in the hint's order, followed by its fetches, whose progress is extrapolated
/// by the age of the hint.
std::vector<MachineInventory::InheritedImage> inherited_images(const events::MachineHint& hint,
                                                               const protocol::MachineType* machine_type) {
  std::vector<MachineInventory::InheritedImage> images;
  for (const auto& image : hint.images) images.push_back({image.image, image.gb, 0});
  for (const auto& fetch : hint.fetches) {
    const double fetched_gb = machine_type == nullptr
                                  ? 0
                                  : time::to_seconds(hint.age) * machine_type->fetch_gb_per_s /
                                        static_cast<double>(hint.fetches.size());
    images.push_back({fetch.image, fetch.size_gb,
                      std::max(fetch.remaining_gb - fetched_gb, fetch.size_gb * kMinRemainingShare)});
  }
  return images;
}

}  // namespace

void HintAdopter::begin() {
  machine_hints_.clear();
  expected_images_.clear();
  failure_hints_.clear();
}

void HintAdopter::adopt(const events::InheritedHints& hints) {
  machine_hints_ = hints.machines;
  for (const events::JobClassHint& hint : hints.job_classes) {
    std::deque<estimates::Estimator::JobSample> jobs;
    for (const auto& sample : hint.jobs) jobs.push_back({sample.job_id, sample.log_ratio_sum, sample.tasks});
    estimator_.adopt_class(hint.job_class, std::move(jobs));
  }
  for (const auto& [host, hint] : machine_hints_) {
    estimator_.adopt_host(host, hint.speed_samples, hint.slowness);
    add_expected_images(hint);
  }
  failure_hints_ = hints.jobs;
}

void HintAdopter::add_expected_images(const events::MachineHint& hint) {
  if (!hint.has_room || hint.silent) return;
  for (const auto& image : hint.images) ++expected_images_[image.image];
}

void HintAdopter::remove_expected_images(const events::MachineHint& hint) {
  if (!hint.has_room || hint.silent) return;
  for (const auto& image : hint.images) {
    const auto it = expected_images_.find(image.image);
    if (it != expected_images_.end() && --it->second == 0) expected_images_.erase(it);
  }
}

bool HintAdopter::adopt_machine(const protocol::WorkerReport& report) {
  const auto found = machine_hints_.extract(report.host);
  if (!found) return false;
  const events::MachineHint& hint = found.mapped();
  remove_expected_images(hint);
  if (hint.machine_type != report.machine_type || hint.address != report.address) return false;
  machine_inventory::Machine& machine = machines_.get_or_add(report.host);
  machines_.adopt_images(machine, inherited_images(hint, machines_.find_type(report.machine_type)));
  for (const auto& failure : hint.failures)
    machine.task_failures[failure.job_id] = runtime_.now() - failure.ago;
  return true;
}

void HintAdopter::remove_machine(const std::string& host) {
  if (const auto hint = machine_hints_.extract(host)) remove_expected_images(hint.mapped());
}

void HintAdopter::adopt_failures(JobTable& jobs) {
  for (const events::JobHint& hint : failure_hints_) {
    job_table::Job* job = jobs.find(hint.job_id);
    if (job == nullptr) continue;
    job->retry_count = std::min(hint.retry_count, kMaxInheritedRetries);
    if (hint.retry_pause.count() > 0)
      job->not_before = runtime_.now() + std::min(hint.retry_pause, kMaxInheritedRetryPause);
    for (const std::string& host : hint.hosts) job->failed_hosts.insert(host);
  }
  failure_hints_.clear();
}

}  // namespace wrenusher::leader
