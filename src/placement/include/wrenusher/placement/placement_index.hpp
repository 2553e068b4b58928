#pragma once
// Incremental index for placement planning. It holds the machines, the tasks that will end and the waiting
// jobs, and is updated with each change, so that a plan examines only relevant entries. The plan is
// identical, ties included, to the one that an exhaustive planner would make.
//
// A slot is the number of a machine or of a job in the index. A future place is room on a machine that
// becomes free when one of the tasks there ends.

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <roaring/roaring.hh>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wrenusher/placement/placement.hpp"

namespace wrenusher::placement {

/// Finish times are compared in steps of this size, since the error of the estimates is far larger. Among
/// equal finish times the best-fitting machine wins, which keeps whole machines free for large tasks.
inline constexpr Micros kFinishTimeBucket = from_seconds(5);
/// Machines are reserved for a gang only if it can start within this time.
inline constexpr Micros kGangReservationHorizon = from_seconds(20);
/// The same limit for the first task of an overdue job. It is longer because room for a large task becomes
/// free only when several other tasks have ended.
inline constexpr Micros kOverdueReservationHorizon = from_seconds(60);

/// A number of tasks of one job to start on one machine.
struct Placement {
  std::uint32_t job = 0;      ///< slot of the job
  std::uint32_t machine = 0;  ///< slot of the machine
  std::uint32_t tasks = 0;
  bool operator==(const Placement&) const = default;
};

/// Result of one planning run.
struct Plan {
  std::vector<Placement> placements;
  std::vector<Shortage> shortages;  ///< `Shortage::job` is a slot
};

/// Input of a planning run that is not kept in the index. `settings` and `team_usage` are borrowed.
struct PlanningContext {
  WallTime now{};
  Instant steady_now{};  ///< the same time as `now`, on the steady clock
  const Settings* settings = nullptr;
  const std::map<std::string, Resources>* team_usage = nullptr;  ///< resources reserved by each team's tasks
  /// Cores of machines that are being started, by machine type.
  std::vector<std::pair<const MachineType*, Amount>> starting_cores;
};

/// Keeps machines and waiting jobs, and plans placements. Slots are allocated by `new_machine` and `new_job`,
/// separately for machines and jobs, and are reused after `drop_machine` and `drop_job`. Not thread-safe:
/// called from the runtime's loop only.
class PlacementIndex {
 public:
  using Slot = std::uint32_t;

  // Machines. The objects that a PlanMachine points to must outlive its entry, which ends when the machine is
  // dropped or set again.

  /// Allocates a slot; it has no machine until `set_machine`.
  [[nodiscard]] Slot new_machine();
  /// Adds the machine or replaces its entry. `ending` lists the tasks on it. `cores` is the number of cores
  /// that it adds to its type's capacity for waiting work. A machine that is not `open` gets no tasks, but
  /// its future places are still considered.
  void set_machine(Slot slot, PlanMachine machine, std::vector<EndingTask> ending, Amount cores, bool open);
  /// Updates the progress of the machine's fetches. The set of fetched images must be unchanged.
  void set_fetches(Slot slot, std::vector<PlannedFetch> fetches);
  /// Removes the machine and releases its slot.
  void drop_machine(Slot slot);
  /// Returns the machine in the slot, or null if there is none.
  const PlanMachine* machine(Slot slot) const;
  const std::vector<EndingTask>& ending_tasks(Slot slot) const;
  /// Returns the machines that have the image or are fetching it, by ascending slot.
  std::vector<Slot> machines_with_image(const std::string& image) const;

  // Jobs with waiting tasks.

  /// Allocates a slot; it has no job until `set_job`.
  [[nodiscard]] Slot new_job();
  /// Adds the job or replaces its entry. The objectives must not change while the job is in the index.
  void set_job(Slot slot, PlanJob job, const std::vector<Objective>& objectives);
  /// Removes the job and releases its slot.
  void drop_job(Slot slot);
  const PlanJob& job(Slot slot) const { return jobs_[slot].job; }

  /// Places tasks job by job, in service order, on the machines with room where they finish first. A task of
  /// an array waits instead if a place on a machine with its image is estimated to become free before a fetch
  /// on another machine would complete.
  ///
  /// The plan does not change the machines and jobs in the index: the caller makes the assignments and sets
  /// the machines again.
  [[nodiscard]] Plan plan(const PlanningContext& context);
  /// Returns the waiting jobs in the order in which they are served.
  [[nodiscard]] std::vector<Slot> service_order(const PlanningContext& context);
  /// Returns the job's slack against its next start deadline that it can still meet.
  Slack deadline_slack(Slot job, WallTime now) const { return slack(jobs_[job].start_deadlines, now); }

  /// Number of entries that the last plan examined.
  struct PlanStatistics {
    std::uint64_t jobs = 0;
    std::uint64_t machines = 0;       ///< each machine counts once for each job for which it was examined
    std::uint64_t future_places = 0;  ///< future places, see `FuturePlace`, counted in the same way
  };
  const PlanStatistics& statistics() const { return statistics_; }
  /// Removes all machines and jobs and releases all slots.
  void clear();

 private:
  static constexpr std::uint32_t kNoRoom = ~0U;
  /// The properties of a machine that decide which jobs may use it.
  struct MachineClassKey {
    const MachineType* machine_type = nullptr;
    std::string zone;
    bool spot = false;
    std::vector<std::string> reserved_devices;  ///< devices for whose jobs the machine is reserved
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const MachineClassKey&) const = default;
  };
  /// Machines with the same key.
  struct MachineClass {
    MachineClassKey key;
    /// Open machines by the size class of their free resources.
    std::map<std::uint32_t, Roaring> by_size_class;
  };
  /// Resources that a job's tasks need, and constraints on their machines.
  struct ConstraintKey {
    Amount cores = 0;
    Amount gpus = 0;
    Amount memory = 0;
    std::vector<std::string> machine_types;
    std::string zone;
    bool spot_allowed = false;
    std::set<std::string> excluded_types;
    std::vector<std::string> devices;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const ConstraintKey&) const = default;
  };
  /// Jobs with the same key.
  struct ConstraintClass {
    std::size_t jobs = 0;
    std::map<ConstraintKey, std::uint32_t>::const_iterator key;
    std::vector<char> admits;              ///< by machine class; extended on use as classes are added
    std::vector<char> fitting_types;       ///< by type: 1 if a task fits an empty machine of it
    std::vector<Amount> core_equivalents;  ///< of one task, by type
    std::uint64_t exhausted_in_plan = 0;   ///< last plan in which no machine had room left for a task
  };
  /// A machine type that some machine has or had.
  struct TypeEntry {
    const MachineType* machine_type = nullptr;
    Amount cores = 0;  ///< of its machines that are available to waiting work
  };
  /// A machine slot and the index data of its machine.
  struct MachineEntry {
    bool present = false;
    bool open = false;
    std::uint32_t machine_class = 0;
    std::uint32_t size_class = kNoRoom;  ///< key in `MachineClass::by_size_class`; `kNoRoom`: not listed
    Amount cores = 0;
    std::uint32_t type = 0;
    PlanMachine machine;
    std::vector<EndingTask> ending_tasks;
    std::vector<std::uint32_t> future_place_ids;  ///< of `ending_tasks`, in the same order
    std::vector<std::uint32_t> images;            ///< cached or being fetched
    std::uint64_t set_count = 0;                  ///< number of updates; a timer with another count is stale
    std::vector<Micros> times_until_free;         ///< of `ending_tasks`
    std::uint64_t times_valid_for_plan = 0;       ///< the plan for which `times_until_free` is valid
  };
  /// A future place: room on a machine that becomes free when one of its tasks ends.
  struct FuturePlace {
    Resources room;                       ///< free room on the machine after the task ends
    std::uint32_t ending_task_index = 0;  ///< index in the machine's ending tasks
    std::uint32_t machine_class = 0;
    std::uint64_t reserved_in_plan = 0;  ///< last plan that reserved it for a task
  };
  /// An entry in a sorted list of future places.
  struct FuturePlaceEntry {
    std::int64_t key = 0;  ///< time or delay until it is free, depending on the list; microseconds
    std::uint32_t place_id = 0;
    Slot machine = 0;
  };
  /// A future place that an array's task could wait for.
  struct FuturePlaceOption {
    Micros available_in{};
    std::uint32_t place_id = 0;
  };
  /// Future places by ascending key. All entries before `head` are reserved in the current plan.
  struct FuturePlaceList {
    std::vector<FuturePlaceEntry> entries;
    std::size_t head = 0;
  };
  /// Future places whose room has one size class.
  struct SizeClassFuturePlaces {
    FuturePlaceList by_end;   ///< by the time at which they become free
    FuturePlaceList by_wait;  ///< by a constant delay from the current time
    /// Places on `ImageFuturePlaces::fetching_machines`, by delay from now; recomputed for each plan.
    FuturePlaceList recomputed;
    bool empty() const {
      return by_end.entries.empty() && by_wait.entries.empty() && recomputed.entries.empty();
    }
  };
  /// Number of leading entries of a `SizeClassFuturePlaces` that are already sorted.
  struct SortedEntries {
    std::size_t by_end = 0;
    std::size_t by_wait = 0;
  };
  /// The future places on machines that have or fetch one image.
  struct ImageFuturePlaces {
    std::map<std::uint32_t, SizeClassFuturePlaces> by_size_class;
    Roaring fetching_machines;         ///< machines with fetches in progress or tasks that wait for an image
    std::vector<Slot> changed;         ///< machines whose places must be replaced
    std::uint64_t valid_for_plan = 0;  ///< the plan for which the lists are up to date
  };
  /// An image that some machine has or fetches, or that some waiting job needs.
  struct ImageEntry {
    std::string image;
    Roaring holders;                                   ///< machines that have the image or fetch it
    std::size_t waiting_jobs = 0;                      ///< jobs with waiting tasks that need it
    std::size_t waiting_arrays = 0;                    ///< those of them that may wait for future places
    std::unique_ptr<ImageFuturePlaces> future_places;  ///< null until an array needs them
  };
  /// A job slot and the index data of its job.
  struct JobEntry {
    bool present = false;
    PlanJob job;
    StartDeadlines start_deadlines;
    std::uint32_t constraint_class = 0;
    std::uint32_t image = 0;
    std::uint32_t team = 0;
    bool uses_future_places = false;
    bool in_service_order = false;  ///< whether the slot is in `service_order_`
    std::size_t live_index = 0;     ///< index in `live_jobs_`
  };
  /// Sort key of jobs; the members are compared in order. `deadline` and `accepted` are microseconds of the
  /// wall clock.
  struct ServiceKey {
    Priority priority = Priority::low;
    bool beyond_guarantee = false;
    DeadlineStatus status = DeadlineStatus::on_track;
    Micros time_to_latest_start{};
    Micros negative_rank{};
    std::int64_t deadline = 0;
    std::int64_t accepted = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const ServiceKey&) const = default;
  };
  /// Cost of one more task on a machine, cheapest first.
  enum class CostLevel {
    already_paid,  ///< the machine is kept for its services
    spot,
    on_demand
  };
  /// A machine with room for a job.
  struct Candidate {
    Slot machine = 0;
    Micros finish{};
    Amount machine_cores = 0;
    CostLevel cost = CostLevel::on_demand;
    double unused_core_fraction = 0;
    std::uint32_t task_capacity = 0;
    Micros fetch{};  ///< including the delay for other fetches on the machine
  };
  /// A set of machines on which a job's tasks are placed together.
  struct Scope {
    std::string zone;                          ///< empty: any
    std::optional<topology::DomainId> domain;  ///< at the colocation level; not set: any
    bool operator==(const Scope&) const = default;
  };
  /// Machines chosen for the tasks of one job.
  struct PlacementChoice {
    std::vector<Placement> placements;
    std::uint32_t tasks = 0;
  };
  /// The next future places that one array can wait for.
  struct FuturePlaceOptions {
    std::vector<FuturePlaceOption> places;  ///< by ascending `available_in`
    /// Returns how many of `tasks` tasks get one of the places within `time`.
    std::uint32_t count_within(Micros time, std::uint32_t tasks) const;
  };

  /// Input for choosing machines for one job. The referenced objects are borrowed.
  struct ChoiceInput {
    Slot job = 0;
    const std::vector<Candidate>& candidates;
    const FuturePlaceOptions& future_places;
    std::uint32_t wanted = 0;
  };
  /// The time at which an ending task's remaining time falls to its `min_remaining`, where it stays from then
  /// on.
  struct Timer {
    Instant at{};
    Slot machine = 0;
    std::uint64_t set_count = 0;  ///< of the machine; the timer is stale if it differs
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const Timer&) const = default;
  };
  /// Resources that a team's jobs use in a plan, counted against its ceiling.
  struct TeamUsage {
    const Team* team = nullptr;
    Resources used;
  };
  class FuturePlaceMerger;   // future_places.cpp
  class OverloadShedder;     // service_order.cpp
  class PlaceChooser;        // placement_plan.cpp
  class ReservationPlanner;  // reservation.cpp

  // Interning of names and keys as numbers (placement_index.cpp).
  std::uint32_t machine_class_of(const PlanMachine& machine);
  std::uint32_t constraint_class_of(const PlanJob& job);
  void release_constraint_class(std::uint32_t id);
  std::uint32_t type_id_of(const MachineType& machine_type);
  std::uint32_t image_id_of(const std::string& image);
  void release_image(std::uint32_t id);
  /// Whether the job may use machines of the class, regardless of free room.
  bool admits(Slot job, std::uint32_t machine_class);
  void update_fitting_types(ConstraintClass& constraints, const PlanJob& job) const;

  // Machines and jobs (placement_index.cpp).
  void index_machine(Slot slot);
  void index_future_places(MachineEntry& entry);
  void index_images(MachineEntry& entry, Slot slot);
  void unindex_machine(Slot slot);
  void index_free_room(Slot slot, const Resources& room);
  void index_job(JobEntry& entry);
  void release_job_image(std::uint32_t id, bool uses_future_places);
  /// Returns the size class of a room: the bit width of each amount. `kNoRoom` if an amount is negative.
  static std::uint32_t size_class(const Resources& room);
  /// Whether a room of size class `room` may hold a need of size class `need`: each amount is at least as
  /// wide.
  static bool covers(std::uint32_t room, std::uint32_t need);

  // Future places (future_places.cpp).
  void mark_future_places_changed(const MachineEntry& entry, Slot slot);
  void schedule_timer(Slot slot);
  void run_timers(Instant steady_now);
  bool is_earlier(const FuturePlaceEntry& left, const FuturePlaceEntry& right) const;
  void merge_sorted(std::vector<FuturePlaceEntry>& entries, std::size_t sorted) const;
  void refresh_future_places(ImageEntry& image, const JobSpec& spec);
  void replace_changed_future_places(const ImageEntry& image, bool first_time);
  void recompute_fetching_future_places(ImageFuturePlaces& future_places, const JobSpec& spec);
  void add_future_places(ImageFuturePlaces& future_places, Slot slot);
  const std::vector<Micros>& times_until_free(Slot slot);
  FuturePlaceOptions find_future_places(const JobEntry& entry, std::uint32_t wanted);

  // Service order of the jobs (service_order.cpp).
  void rank_jobs(const PlanningContext& context);
  ServiceKey service_key(Slot slot, bool shed, WallTime now) const;
  void sort_service_order();

  // Steps of a planning run (placement_plan.cpp, reservation.cpp).
  const PlanMachine& current_state(Slot slot) const;
  PlanMachine& planned_state(Slot slot);
  std::vector<TeamUsage> team_usages(const PlanningContext& context) const;
  void plan_job(Slot slot, TeamUsage& usage, WallTime now, Plan& plan);
  std::vector<Candidate> candidates(Slot slot, std::uint32_t wanted);
  std::optional<Candidate> candidate(const PlanJob& job, Slot machine, std::uint32_t wanted) const;
  bool is_better(const Candidate& left, const Candidate& right) const;
  std::vector<Scope> scopes(const PlanJob& job, const std::vector<Candidate>& candidates) const;
  PlacementChoice choose_places(const ChoiceInput& input, const Scope& scope, bool strict) const;
  PlacementChoice best_choice(const ChoiceInput& input) const;
  PlacementChoice best_gang_choice(const ChoiceInput& input, const std::vector<Scope>& all_scopes) const;
  void apply_choice(const PlacementChoice& choice, const JobSpec& spec);
  void reserve_places(Slot job, std::uint32_t tasks, Micros horizon);
  void reserve_future_places(const FuturePlaceOptions& future_places, std::uint32_t tasks);
  void end_plan();

  std::vector<MachineEntry> machines_;
  std::vector<Slot> free_machine_slots_;
  std::vector<MachineClass> machine_classes_;
  std::map<MachineClassKey, std::uint32_t> machine_class_ids_;
  std::vector<TypeEntry> types_;
  std::map<std::string, std::uint32_t> type_ids_;
  std::vector<ImageEntry> images_;
  std::unordered_map<std::string, std::uint32_t> image_ids_;
  std::vector<std::uint32_t> free_images_;
  std::vector<FuturePlace> future_places_;
  std::vector<std::uint32_t> free_future_place_ids_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;

  std::vector<JobEntry> jobs_;
  std::vector<Slot> free_job_slots_;
  std::vector<Slot> live_jobs_;
  std::vector<ConstraintClass> constraint_classes_;
  std::vector<std::uint32_t> free_constraint_ids_;
  std::map<ConstraintKey, std::uint32_t> constraint_ids_;
  std::vector<std::string> teams_;
  std::map<std::string, std::uint32_t> team_ids_;

  std::uint64_t plan_count_ = 0;
  Instant steady_now_{};                  ///< steady time of the current plan
  std::vector<Slot> service_order_;       ///< of the last plan; the next order is usually similar
  std::vector<ServiceKey> service_keys_;  ///< by slot
  std::vector<Slack> slacks_;             ///< by slot, without load shedding
  std::vector<char> marked_machines_;     ///< by machine; only set within `replace_changed_future_places`
  std::map<Slot, PlanMachine> planned_machines_;  ///< machines changed by the current plan
  PlanStatistics statistics_;
};

}  // namespace wrenusher::placement
