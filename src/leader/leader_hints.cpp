// What the ledger tells standbys, and takes over from the last leader's telling.

#include <algorithm>
#include <deque>
#include <tuple>

#include "wrenusher/leader/leader_actor.hpp"

namespace wrenusher::leader {

namespace {

constexpr Micros kHintInterval = from_millis(500);
/// Queues and jobs change with every task that ends; they are told less often.
constexpr Micros kClassHintInterval = from_seconds(2);
/// Machines told at a time; the rest waits for the next.
constexpr std::size_t kMaxHintsPerTurn = 300;
/// In the first moments of a term no place without the image is taken while one with it may still be heard.
constexpr Micros kMachineReportWindow = from_millis(1200);

}  // namespace

MachineHint LeaderActor::hint_of(const Machine& machine) const {
  MachineHint hint;
  hint.host = machine.name;
  hint.address = machine.address;
  hint.machine_type = machine.machine_type;
  hint.zone = machine.zone;
  hint.spot = machine.spot;
  hint.silent = machine.silent;
  hint.incarnation = machine.incarnation;
  if (const MachineType* machine_type = machines_.type_of(machine))
    hint.has_room = machine.use.reserved.cores < machine_type->capacity.cores;
  std::tie(hint.speed_samples, hint.slowness) = estimator_.slowness(machine.name);
  std::vector<std::pair<std::uint64_t, const std::string*>> by_use;
  for (const auto& [bundle, used] : machine.images) by_use.emplace_back(used, &bundle);
  std::sort(by_use.begin(), by_use.end());
  for (const auto& [used, bundle] : by_use) {
    const auto gb = machine.image_gb.find(*bundle);
    hint.images.push_back({*bundle, gb == machine.image_gb.end() ? 0 : gb->second});
  }
  for (const auto& [bundle, p] : machine.fetches) hint.fetches.push_back({bundle, p.size_gb, p.remaining_gb});
  for (const auto& [ref, at] : machine.errors) hint.failures.push_back({ref, runtime_.now() - at});
  return hint;
}

/// What has changed since it was last told.
void LeaderActor::publish_hints() {
  const Instant now = runtime_.now();
  if (!settings_.has_standby() || now < next_hints_) return;
  next_hints_ = now + kHintInterval;
  auto out = std::make_shared<LeaderHints>();
  for (Machine* machine : machines_.take_pending_hints(kMaxHintsPerTurn)) {
    // One that only a claim tells of has nothing to be called at.
    if (machine->address.empty()) continue;
    machines_.advance_fetches(*machine);
    out->machines.push_back(hint_of(*machine));
  }
  if (now >= next_class_hints_) {
    next_class_hints_ = now + kClassHintInterval;
    for (const std::string& job_class : estimator_.job_classes()) {
      std::uint64_t& told = published_class_versions_[job_class];
      const std::uint64_t version = estimator_.version(job_class);
      if (told == version) continue;
      told = version;
      JobClassHint hint{job_class, {}};
      for (const auto& sample : estimator_.jobs_of(job_class))
        hint.jobs.push_back({sample.job_id, sample.sum, sample.tasks});
      out->job_classes.push_back(std::move(hint));
    }
    std::set<std::string> failing;
    for (const auto& [ref, job] : jobs_.jobs()) {
      if (job.error_hosts.empty() && job.retry_count == 0) continue;
      failing.insert(ref);
      out->jobs.push_back({ref,
                           {job.error_hosts.begin(), job.error_hosts.end()},
                           std::max(Micros{0}, job.not_before - now),
                           job.retry_count});
    }
    for (const std::string& job_id : published_jobs_) {
      if (!failing.contains(job_id)) out->jobs.push_back({job_id, {}, {}, 0});
    }
    published_jobs_ = std::move(failing);
  }
  if (!out->machines.empty() || !out->job_classes.empty() || !out->jobs.empty())
    hints(std::shared_ptr<const LeaderHints>(std::move(out)));
}

void LeaderActor::on_hints_inherited(const std::shared_ptr<const InheritedHints>& all) {
  if (!term_.leading || term_.fencing_token != all->term) return;
  inherited_machines_ = all->machines;
  for (const JobClassHint& hint : all->job_classes) {
    std::deque<estimates::Estimator::JobSample> jobs;
    for (const auto& sample : hint.jobs) jobs.push_back({sample.job_id, sample.sum, sample.tasks});
    estimator_.adopt_class(hint.job_class, std::move(jobs));
  }
  for (const auto& [host, m] : inherited_machines_) {
    estimator_.adopt_host(host, m.speed_samples, m.slowness);
    failover_timer_.expect_machine(host);
    expect_images(m, true);
  }
  // All that live are heard in about that time; a fetch takes longer.
  scheduler_.expect_images(&expected_images_, runtime_.now() + kMachineReportWindow);
  failure_hints_ = all->jobs;
}

/// A machine that has room and is not heard yet holds these images.
void LeaderActor::expect_images(const MachineHint& hint, bool comes) {
  if (!hint.has_room || hint.silent) return;
  for (const auto& i : hint.images) {
    if (comes) {
      ++expected_images_[i.image];
    } else if (const auto it = expected_images_.find(i.image);
               it != expected_images_.end() && --it->second == 0) {
      expected_images_.erase(it);
    }
  }
}

/// A machine's first word in this term: what the last leader told of it holds until a report says otherwise.
/// One that was never heard again comes to nothing by it.
bool LeaderActor::adopt_machine_hint(const WorkerReport& report) {
  const auto found = inherited_machines_.extract(report.host);
  if (!found) return false;
  const MachineHint& hint = found.mapped();
  expect_images(hint, false);
  if (hint.machine_type != report.machine_type || hint.address != report.address) return false;
  Machine& machine = machines_.get_or_add(report.host);
  std::vector<MachineInventory::InheritedImage> held;
  for (const auto& i : hint.images) held.push_back({i.image, i.gb, 0});
  const MachineType* machine_type = machines_.find_type(report.machine_type);
  for (const auto& p : hint.fetches) {
    const double since = machine_type == nullptr ? 0
                                                 : to_seconds(hint.age) * machine_type->fetch_gb_per_s /
                                                       static_cast<double>(hint.fetches.size());
    held.push_back({p.image, p.size_gb, std::max(p.remaining_gb - since, p.size_gb * 0.05)});
  }
  machines_.adopt_images(machine, held);
  for (const auto& e : hint.failures) machine.errors[e.job_id] = runtime_.now() - e.ago;
  return true;
}

/// Jobs that failed before go on as they were: not tried again at once on the machines they failed on.
void LeaderActor::adopt_failure_hints() {
  for (const JobHint& hint : failure_hints_) {
    Job* job = jobs_.find(hint.job_id);
    if (job == nullptr) continue;
    job->retry_count = std::min(hint.retry_count, 16);
    if (hint.retry_pause.count() > 0)
      job->not_before = runtime_.now() + std::min(hint.retry_pause, from_seconds(60));
    for (const std::string& host : hint.hosts) job->error_hosts.insert(host);
  }
  failure_hints_.clear();
}

}  // namespace wrenusher::leader
