#include "wrenusher/leader/hint_collector.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace wrenusher::leader {

namespace {

constexpr time::Micros kHintInterval = time::from_millis(500);
/// Hints of job classes and jobs are sent less often because they change with every task that ends.
constexpr time::Micros kClassHintInterval = time::from_seconds(2);
/// Maximum number of machine hints per collection; the others are left for the next collection.
constexpr std::size_t kMaxMachineHintsPerBatch = 300;

/// Returns the names of the machine's images, least recently used first.
std::vector<const std::string*> images_by_last_use(const Machine& machine) {
  std::vector<std::pair<std::uint64_t, const std::string*>> by_use;
  for (const auto& [image, last_use] : machine.images) by_use.emplace_back(last_use, &image);
  std::sort(by_use.begin(), by_use.end());
  std::vector<const std::string*> images;
  images.reserve(by_use.size());
  for (const auto& [last_use, image] : by_use) images.push_back(image);
  return images;
}

}  // namespace

std::shared_ptr<const events::LeaderHints> HintCollector::collect() {
  const Instant now = runtime_.now();
  if (!settings_.has_standby() || now < next_collection_) return nullptr;
  next_collection_ = now + kHintInterval;
  auto hints = std::make_shared<events::LeaderHints>();
  collect_machines(*hints);
  if (now >= next_class_collection_) {
    next_class_collection_ = now + kClassHintInterval;
    collect_job_classes(*hints);
    collect_failing_jobs(*hints, now);
  }
  if (hints->machines.empty() && hints->job_classes.empty() && hints->jobs.empty()) return nullptr;
  return hints;
}

void HintCollector::collect_machines(events::LeaderHints& hints) {
  for (Machine* machine : machines_.take_pending_hints(kMaxMachineHintsPerBatch)) {
    // A machine that is only known from an assignment has no address yet.
    if (machine->address.empty()) continue;
    machines_.advance_fetches(*machine);
    hints.machines.push_back(machine_hint(*machine));
  }
}

events::MachineHint HintCollector::machine_hint(const Machine& machine) const {
  events::MachineHint hint;
  hint.host = machine.name;
  hint.address = machine.address;
  hint.machine_type = machine.machine_type;
  hint.zone = machine.zone;
  hint.spot = machine.spot;
  hint.silent = machine.silent;
  hint.incarnation = machine.incarnation;
  if (const protocol::MachineType* machine_type = machines_.type_of(machine))
    hint.has_room = machine.use.reserved.cores < machine_type->capacity.cores;
  std::tie(hint.speed_samples, hint.slowness) = estimator_.slowness(machine.name);
  for (const std::string* image : images_by_last_use(machine)) {
    const auto gb = machine.image_gb.find(*image);
    hint.images.push_back({*image, gb == machine.image_gb.end() ? 0 : gb->second});
  }
  for (const auto& [image, fetch] : machine.fetches)
    hint.fetches.push_back({image, fetch.size_gb, fetch.remaining_gb});
  for (const auto& [job_id, failed_at] : machine.task_failures)
    hint.failures.push_back({job_id, runtime_.now() - failed_at});
  return hint;
}

void HintCollector::collect_job_classes(events::LeaderHints& hints) {
  for (const std::string& job_class : estimator_.job_classes()) {
    std::uint64_t& sent = sent_class_versions_[job_class];
    const std::uint64_t version = estimator_.version(job_class);
    if (sent == version) continue;
    sent = version;
    events::JobClassHint hint{job_class, {}};
    for (const auto& sample : estimator_.job_samples(job_class))
      hint.jobs.push_back({sample.job_id, sample.sum, sample.tasks});
    hints.job_classes.push_back(std::move(hint));
  }
}

void HintCollector::collect_failing_jobs(events::LeaderHints& hints, Instant now) {
  std::set<std::string> failing;
  for (const auto& [job_id, job] : jobs_.jobs()) {
    if (job.failed_hosts.empty() && job.retry_count == 0) continue;
    failing.insert(job_id);
    hints.jobs.push_back({job_id,
                          {job.failed_hosts.begin(), job.failed_hosts.end()},
                          std::max(time::Micros{0}, job.not_before - now),
                          job.retry_count});
  }
  for (const std::string& job_id : sent_failing_jobs_) {
    if (!failing.contains(job_id)) hints.jobs.push_back({job_id, {}, {}, 0});
  }
  sent_failing_jobs_ = std::move(failing);
}

}  // namespace wrenusher::leader
