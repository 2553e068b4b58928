// Service order of the waiting jobs, and load shedding under overload.

#include <algorithm>
#include <limits>

#include "wrenusher/placement/placement_index.hpp"

namespace wrenusher::placement {

/// Selects the jobs to shed in this plan so that as many jobs as possible meet their next target. Where the
/// available cores cannot serve all jobs of a priority in time, the largest waiting job is shed first. Lives
/// for one plan.
class PlacementIndex::OverloadShedder {
 public:
  OverloadShedder(PlacementIndex& index, const PlanningContext& context) : index_(index) {
    collect_items();
    collect_cores(context);
  }

  /// Returns, by job slot, 1 for each job that is shed.
  std::vector<char> run();

 private:
  /// An array with a target.
  struct Item {
    Priority priority = Priority::low;
    Micros slack{};
    Slot job = 0;
    double seconds = 0;  ///< total run time of its waiting tasks
    double work = 0;     ///< core seconds
  };
  /// A job that is not shed so far. Orders by largest work first, then by earliest item.
  struct LargestFirst {
    double work = 0;
    std::size_t item = 0;
    bool operator<(const LargestFirst& other) const {
      return work != other.work ? work < other.work : item > other.item;
    }
  };
  /// Jobs that compete with each other when one must be shed.
  struct GroupKey {
    Priority priority = Priority::low;
    Amount cores = 0;
    Amount gpus = 0;
    Amount memory = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const GroupKey&) const = default;
  };

  void collect_items();
  void collect_cores(const PlanningContext& context);
  bool is_before(const Item& left, const Item& right) const;
  double add_work(const Item& item, double sign);

  PlacementIndex& index_;
  std::vector<Item> items_;                      ///< highest priority first, then least slack
  std::vector<double> cores_by_type_;            ///< including those of starting machines
  std::vector<double> queued_work_;              ///< core seconds by type of the items not shed so far
  std::vector<std::uint32_t> type_ids_by_name_;  ///< fixed order, so that floating-point sums do not depend
                                                 ///< on the order of first use
};

void PlacementIndex::OverloadShedder::collect_items() {
  items_.reserve(index_.live_jobs_.size());
  for (const Slot slot : index_.live_jobs_) {
    const PlanJob& job = index_.jobs_[slot].job;
    const Slack& slack = index_.slacks_[slot];
    if (slack.status == DeadlineStatus::missed || slack.remaining == Micros::max() ||
        job.spec->type != JobType::array)
      continue;
    const double seconds = job.waiting * to_seconds(job.estimate);
    const double work = seconds * from_amount(job.spec->resources.cores);
    items_.push_back({job.spec->priority, slack.remaining, slot, seconds, work});
  }
  std::sort(items_.begin(), items_.end(),
            [this](const Item& left, const Item& right) { return is_before(left, right); });
}

bool PlacementIndex::OverloadShedder::is_before(const Item& left, const Item& right) const {
  if (left.priority != right.priority) return left.priority < right.priority;
  if (left.slack != right.slack) return left.slack < right.slack;
  return index_.jobs_[left.job].job.spec->job_id < index_.jobs_[right.job].job.spec->job_id;
}

void PlacementIndex::OverloadShedder::collect_cores(const PlanningContext& context) {
  for (const auto& [machine_type, cores] : context.starting_cores) index_.type_id_of(*machine_type);
  const std::vector<TypeEntry>& types = index_.types_;
  cores_by_type_.resize(types.size());
  for (std::size_t i = 0; i < types.size(); ++i) {
    Amount sum = types[i].cores;
    for (const auto& [machine_type, cores] : context.starting_cores)
      sum += machine_type->name == types[i].machine_type->name ? cores : 0;
    cores_by_type_[i] = from_amount(sum);
  }
  queued_work_.resize(types.size(), 0);
  for (const auto& [name, id] : index_.type_ids_) type_ids_by_name_.push_back(id);
}

/// Adds (`sign` 1) or subtracts (`sign` -1) the item's work, distributed over the types that can run it in
/// proportion to their cores. Returns the seconds needed for all work queued on these types; 0 if no type
/// with cores can run it.
double PlacementIndex::OverloadShedder::add_work(const Item& item, double sign) {
  const JobEntry& entry = index_.jobs_[item.job];
  ConstraintClass& constraints = index_.constraint_classes_[entry.constraint_class];
  index_.update_fitting_types(constraints, entry.job);
  double cores = 0;
  for (const std::uint32_t type : type_ids_by_name_)
    cores += constraints.fitting_types[type] != 0 ? cores_by_type_[type] : 0;
  if (cores <= 0) return 0.0;
  double queued = 0;
  for (const std::uint32_t type : type_ids_by_name_) {
    if (constraints.fitting_types[type] == 0) continue;
    const double work = item.seconds * from_amount(constraints.core_equivalents[type]);
    queued_work_[type] += sign * work * cores_by_type_[type] / cores;
    queued += queued_work_[type];
  }
  return queued / cores;
}

/// Applies the Moore-Hodgson rule: takes the jobs by ascending slack and, when one would miss its target,
/// sheds the largest job taken so far.
std::vector<char> PlacementIndex::OverloadShedder::run() {
  std::vector<char> shed_jobs(index_.jobs_.size(), 0);
  std::map<GroupKey, std::priority_queue<LargestFirst>> groups;
  std::vector<char> shed_items(items_.size(), 0);
  for (std::size_t i = 0; i < items_.size(); ++i) {
    const Item& item = items_[i];
    const JobSpec& spec = *index_.jobs_[item.job].job.spec;
    auto& group = groups[{spec.priority, spec.resources.cores, spec.resources.gpus, spec.resources.memory}];
    group.push({item.work, i});
    if (add_work(item, 1) <= to_seconds(item.slack)) continue;
    while (shed_items[group.top().item] != 0) group.pop();
    const std::size_t largest = group.top().work > item.work ? group.top().item : i;
    shed_items[largest] = 1;
    add_work(items_[largest], -1);
    shed_jobs[items_[largest].job] = 1;
  }
  return shed_jobs;
}

void PlacementIndex::rank_jobs(const PlanningContext& context) {
  for (const Slot slot : live_jobs_) slacks_[slot] = slack(jobs_[slot].start_deadlines, context.now);
  const std::vector<char> shed = OverloadShedder(*this, context).run();
  for (const Slot slot : live_jobs_) {
    service_keys_[slot] = service_key(slot, shed[slot] != 0, context.now);
    if (std::exchange(jobs_[slot].in_service_order, true)) continue;
    service_order_.push_back(slot);
  }
  std::erase_if(service_order_, [&](Slot slot) {
    if (!jobs_[slot].present) jobs_[slot].in_service_order = false;
    return !jobs_[slot].present;
  });
  sort_service_order();
}

PlacementIndex::ServiceKey PlacementIndex::service_key(Slot slot, bool shed, WallTime now) const {
  const PlanJob& job = jobs_[slot].job;
  const JobSpec& spec = *job.spec;
  const std::int64_t accepted = job.accepted_at.time_since_epoch().count();
  const std::int64_t deadline =
      spec.deadline ? accepted + spec.deadline->count() : std::numeric_limits<std::int64_t>::max();
  Slack slack = slacks_[slot];
  if (slack.status == DeadlineStatus::missed) slack.time_to_latest_start = Micros::max();
  if (shed) slack = {DeadlineStatus::missed, slack.remaining, slack.remaining};
  Priority priority = spec.priority;
  bool beyond_guarantee = !job.guaranteed;
  if (is_overdue(job, now)) {
    // Overdue jobs are ordered by longest wait first.
    slack = {DeadlineStatus::at_risk, job.accepted_at - now, {}};
    beyond_guarantee = false;
    if (spec.type == JobType::array) priority = std::min(priority, Priority::high);
  }
  return {priority,   beyond_guarantee, slack.status, slack.time_to_latest_start,
          -rank(job), deadline,         accepted};
}

void PlacementIndex::sort_service_order() {
  const auto before = [this](Slot left, Slot right) {
    return service_keys_[left] != service_keys_[right]
               ? service_keys_[left] < service_keys_[right]
               : jobs_[left].job.spec->job_id < jobs_[right].job.spec->job_id;
  };
  // The vector keeps the order of the last plan, which is usually still sorted.
  if (!std::is_sorted(service_order_.begin(), service_order_.end(), before))
    std::sort(service_order_.begin(), service_order_.end(), before);
}

std::vector<PlacementIndex::Slot> PlacementIndex::service_order(const PlanningContext& context) {
  rank_jobs(context);
  return service_order_;
}

}  // namespace wrenusher::placement
