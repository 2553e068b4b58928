#pragma once
// The index that plans are made on: machines with room, tasks that will end, and waiting jobs, updated with
// each change, so that a plan looks only at what can matter to it. A plan made on it is the plan that looking
// at everything would make, ties included.

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

/// Finish times closer than this count as equal: estimates are off by far more, and among equals the machine
/// that the task fills best is taken, so that large tasks keep whole machines.
inline constexpr Micros kEqualFinishWindow = from_seconds(5);
/// Places are reserved for a gang where it can start within this time.
inline constexpr Micros kGangReservation = from_seconds(20);
/// The same for the first task of an overdue job: a large one needs several others to end.
inline constexpr Micros kOverdueReservation = from_seconds(60);

/// Tasks of a job that are to start on a machine.
struct Placement {
  std::uint32_t job = 0;      ///< slot
  std::uint32_t machine = 0;  ///< slot
  std::uint32_t tasks = 0;
  bool operator==(const Placement&) const = default;
};

/// What one plan decides.
struct Plan {
  std::vector<Placement> placements;
  std::vector<Shortage> shortages;  ///< their `job` is a slot
};

/// What a plan needs to know besides what is in the index. `settings` and `team_usage` are borrowed.
struct PlanningContext {
  WallTime now{};
  Instant steady_now{};  ///< the same moment as `now`, by the steady clock
  const Settings* settings = nullptr;
  const std::map<std::string, Resources>* team_usage = nullptr;  ///< what each team's tasks have reserved
  /// Cores of machines on their way, by type.
  std::vector<std::pair<const MachineType*, Amount>> starting_cores;
};

/// Machines and jobs are named by slots, which `new_machine` and `new_job` give out and which are used again
/// once dropped. Single-threaded: called from the runtime's loop only.
class PlacementIndex {
 public:
  using Slot = std::uint32_t;

  // Machines. What a PlanMachine points to must live as long as it is in the index, or until it is set anew.

  /// A slot without a machine.
  [[nodiscard]] Slot new_machine();
  /// Enters the machine as it is now. `ending`: the tasks on it. `cores`: what its type adds to those that
  /// serve waiting work. While it is not `open` it gets no tasks, but its future places count.
  void set_machine(Slot slot, PlanMachine machine, std::vector<EndingTask> ending, Amount cores, bool open);
  /// Its fetches went on; which there are is as it was.
  void set_fetches(Slot slot, std::vector<PlannedFetch> fetches);
  /// Takes the machine out and gives the slot back.
  void drop_machine(Slot slot);
  /// Null: no machine has the slot.
  const PlanMachine* machine(Slot slot) const;
  const std::vector<EndingTask>& ending_tasks(Slot slot) const;
  /// Machines that have the image or fetch it, in rising order.
  std::vector<Slot> machines_with_image(const std::string& image) const;

  // Jobs of which some tasks wait.

  /// A slot without a job.
  [[nodiscard]] Slot new_job();
  /// Enters the job as it is now. The objectives must not change while it is in the index.
  void set_job(Slot slot, PlanJob job, const std::vector<Objective>& objectives);
  /// Takes the job out and gives the slot back.
  void drop_job(Slot slot);
  const PlanJob& job(Slot slot) const { return jobs_[slot].job; }

  /// Places tasks job by job, in their order, on the machines with room where they finish first. A task of an
  /// array is left waiting instead where, by the estimates, a place on a machine that has its image becomes
  /// free before the image could be fetched here. The index itself does not change: the caller makes the
  /// assignments, and sets the machines anew.
  [[nodiscard]] Plan plan(const PlanningContext& context);
  /// The waiting jobs in the order in which they are served.
  [[nodiscard]] std::vector<Slot> service_order(const PlanningContext& context);
  /// How a job stands against its next target.
  Slack deadline_slack(Slot job, WallTime now) const { return slack(jobs_[job].aims, now); }

  /// What the last plan looked at.
  struct PlanStatistics {
    std::uint64_t jobs = 0;
    std::uint64_t machines = 0;       ///< each time that one was looked at for a job
    std::uint64_t future_places = 0;  ///< places to come, likewise
  };
  const PlanStatistics& statistics() const { return statistics_; }
  /// Takes out all machines and jobs; all slots are given back.
  void clear();

 private:
  static constexpr std::uint32_t kNoRoom = ~0U;
  /// What decides who may use a machine.
  struct MachineClassKey {
    const MachineType* machine_type = nullptr;
    std::string zone;
    bool spot = false;
    std::vector<std::string> reserved_devices;  ///< devices that are kept for jobs that want them
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const MachineClassKey&) const = default;
  };
  /// Machines alike in this.
  struct MachineClass {
    MachineClassKey key;
    /// Open machines by the size class of their free room.
    std::map<std::uint32_t, Roaring> by_size_class;
  };
  /// What a job's tasks need, and where they may go.
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
  /// Jobs alike in this.
  struct ConstraintClass {
    std::size_t jobs = 0;
    std::map<ConstraintKey, std::uint32_t>::const_iterator key;
    std::vector<char> admits;              ///< by machine class; grows with the classes
    std::vector<char> fitting_types;       ///< by type: 1 where a task fits, room or not
    std::vector<Amount> core_equivalents;  ///< by type: of one task
    std::uint64_t exhausted_in_plan = 0;   ///< the plan in which no machine had room for a task any more
  };
  /// A machine type of which there are or were machines.
  struct TypeEntry {
    const MachineType* machine_type = nullptr;
    Amount cores = 0;  ///< of its machines that serve waiting work
  };
  /// A slot for a machine, with what is indexed of it.
  struct MachineEntry {
    bool present = false;
    bool open = false;
    std::uint32_t machine_class = 0;
    std::uint32_t size_class = kNoRoom;  ///< under which it is in its machine class
    Amount cores = 0;
    std::uint32_t type = 0;
    PlanMachine machine;
    std::vector<EndingTask> ending_tasks;
    std::vector<std::uint32_t> futures;    ///< of `ending_tasks`, in the same order
    std::vector<std::uint32_t> images;     ///< cached or fetched
    std::uint64_t set_count = 0;           ///< how often it was set: tells timers of an earlier state
    std::vector<Micros> times_until_free;  ///< of `ending_tasks`, as of `times_plan`
    std::uint64_t times_plan = 0;
  };
  /// A place that will become free.
  struct FutureCapacity {
    Resources room;           ///< of the machine once it is free
    std::uint32_t index = 0;  ///< among the machine's ending tasks
    std::uint32_t machine_class = 0;
    std::uint64_t reserved_in_plan = 0;  ///< the plan in which a task waits for it
  };
  /// A future place in a list.
  struct FutureEntry {
    std::int64_t key = 0;  ///< when it becomes free, or how long from now, by the list it is in; microseconds
    std::uint32_t future = 0;
    Slot machine = 0;
  };
  /// A place that an array could wait for.
  struct UpcomingPlace {
    Micros available_in{};
    std::uint32_t future = 0;
  };
  /// Places in rising order; before `head` all are reserved in this plan.
  struct FutureList {
    std::vector<FutureEntry> entries;
    std::size_t head = 0;
  };
  /// Places whose room will be of one size class.
  struct SizeClassFutures {
    FutureList by_end;   ///< by the time when they become free
    FutureList by_wait;  ///< by how long from now, however late it is
    /// On machines with fetches under way, by how long from now: computed anew for each plan.
    FutureList recomputed;
    bool empty() const {
      return by_end.entries.empty() && by_wait.entries.empty() && recomputed.entries.empty();
    }
  };
  /// How many entries of a `SizeClassFutures` are in order already.
  struct SortedEntries {
    std::size_t by_end = 0;
    std::size_t by_wait = 0;
  };
  /// The places to come on machines that hold one image.
  struct ImageFutures {
    std::map<std::uint32_t, SizeClassFutures> by_size_class;
    Roaring fetching_machines;         ///< machines with fetches under way
    std::vector<Slot> changed;         ///< machines that are to be entered anew
    std::uint64_t valid_for_plan = 0;  ///< the plan that it is up to date for
  };
  /// An image that some machine holds or some job waits for.
  struct ImageEntry {
    std::string image;
    Roaring holders;                        ///< machines that have or fetch it
    std::size_t waiting_jobs = 0;           ///< jobs of which something waits
    std::size_t waiting_arrays = 0;         ///< arrays among them that may wait for places to come
    std::unique_ptr<ImageFutures> futures;  ///< null while no array waits
  };
  /// A slot for a job, with what is indexed of it.
  struct JobEntry {
    bool present = false;
    PlanJob job;
    Aims aims;
    std::uint32_t constraint_class = 0;
    std::uint32_t image = 0;
    std::uint32_t team = 0;
    bool uses_futures = false;
    bool in_service_order = false;  ///< in service_order_
    std::size_t live_index = 0;     ///< in live_jobs_
  };
  /// By what jobs are ordered, the first member first. Times are microseconds of the wall clock.
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
  /// What one more task costs on a machine, the least first.
  enum class CostLevel {
    paid_anyway,  ///< it stays for its services
    spot,
    on_demand
  };
  /// A machine with room for a job.
  struct Candidate {
    Slot machine = 0;
    Micros finish{};
    Amount machine_cores = 0;
    CostLevel cost = CostLevel::on_demand;
    double misfit = 0;
    std::uint32_t task_capacity = 0;
    Micros fetch{};  ///< with the delay that it imposes on others
  };
  /// Where the tasks of a job are tried together.
  struct Scope {
    std::string zone;                          ///< empty: any
    std::optional<topology::DomainId> domain;  ///< of the level of colocation; nothing: any
    bool operator==(const Scope&) const = default;
  };
  /// Where tasks of one job are to start.
  struct PlacementChoice {
    std::vector<Placement> placements;
    std::uint32_t tasks = 0;
  };
  /// The next places for one array.
  struct UpcomingView {
    std::vector<UpcomingPlace> places;  ///< in rising order
    /// How many of so many tasks find one of them within the time.
    std::uint32_t within(Micros time, std::uint32_t tasks) const;
  };

  /// What choosing places for one job rests on. All of it is borrowed.
  struct ChoiceInput {
    Slot job = 0;
    const std::vector<Candidate>& candidates;
    const UpcomingView& upcoming;
    std::uint32_t wanted = 0;
  };
  /// When the ending tasks of a machine are so late that they count as lasting a fixed time from now.
  struct Timer {
    Instant at{};
    Slot machine = 0;
    std::uint64_t set_count = 0;  ///< of the machine; void once that is another
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const Timer&) const = default;
  };
  /// What a team's jobs use in a plan, against its ceiling.
  struct TeamUsage {
    const Team* team = nullptr;
    Resources used;
  };
  class FutureCursors;       // future_places.cpp
  class OverloadShedder;     // service_order.cpp
  class PlaceChooser;        // placement_plan.cpp
  class ReservationPlanner;  // reservation.cpp

  // Names made numbers (placement_index.cpp).
  std::uint32_t machine_class_of(const PlanMachine& machine);
  std::uint32_t constraint_class_of(const PlanJob& job);
  void release_constraint_class(std::uint32_t id);
  std::uint32_t type_id_of(const MachineType& machine_type);
  std::uint32_t image_id_of(const std::string& image);
  void release_image(std::uint32_t id);
  /// Whether the job may use machines of the class, room or not.
  bool admits(Slot job, std::uint32_t machine_class);
  void update_fitting_types(ConstraintClass& constraints, const PlanJob& job) const;

  // Machines and jobs (placement_index.cpp).
  void index_machine(Slot slot);
  void index_futures(MachineEntry& entry);
  void index_images(MachineEntry& entry, Slot slot);
  void unindex_machine(Slot slot);
  void index_free_room(Slot slot, const Resources& room);
  void index_job(JobEntry& entry);
  void release_job_image(std::uint32_t id, bool uses_futures);
  /// The size class of a room: the width in bits of each of its amounts. `kNoRoom` where one is negative.
  static std::uint32_t size_class(const Resources& room);
  /// Whether a room of one size class may hold a need of the other: each of the amounts is at least as wide.
  static bool covers(std::uint32_t room, std::uint32_t need);

  // Places to come (future_places.cpp).
  void mark_futures_changed(const MachineEntry& entry, Slot slot);
  void schedule_timer(Slot slot);
  void run_timers(Instant clock);
  bool is_earlier(const FutureEntry& left, const FutureEntry& right) const;
  void merge_sorted(std::vector<FutureEntry>& entries, std::size_t sorted) const;
  void refresh_futures(ImageEntry& image, const JobSpec& spec);
  void replace_changed_futures(const ImageEntry& image, bool first_time);
  void recompute_fetching_futures(ImageFutures& futures, const JobSpec& spec);
  void add_futures(ImageFutures& futures, Slot slot);
  const std::vector<Micros>& times_until_free(Slot slot);
  UpcomingView upcoming_places(const JobEntry& entry, std::uint32_t wanted);

  // The order of the jobs (service_order.cpp).
  void rank_jobs(const PlanningContext& context);
  ServiceKey service_key(Slot slot, bool shed, WallTime now) const;
  void sort_service_order();

  // The steps of a plan (placement_plan.cpp, reservation.cpp).
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
  PlacementChoice best_gang_choice(const ChoiceInput& input, const std::vector<Scope>& all) const;
  void apply_choice(const PlacementChoice& choice, const JobSpec& spec);
  void reserve_places(Slot job, std::uint32_t tasks, Micros within);
  void reserve_upcoming(const UpcomingView& upcoming, std::uint32_t tasks);
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
  std::vector<FutureCapacity> futures_;
  std::vector<std::uint32_t> free_futures_;
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
  Instant instant_{};                             ///< of the plan that is being made
  std::vector<Slot> service_order_;               ///< of the last plan: the next is much the same
  std::vector<ServiceKey> service_keys_;          ///< by slot
  std::vector<Slack> slacks_;                     ///< by slot, overload aside
  std::vector<char> marked_machines_;             ///< by machine; set during one pass only
  std::map<Slot, PlanMachine> planned_machines_;  ///< machines as this plan leaves them
  PlanStatistics statistics_;
};

}  // namespace wrenusher::placement
