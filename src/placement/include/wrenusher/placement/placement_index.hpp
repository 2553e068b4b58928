#pragma once
// The planner's board: machines with room, tasks that will leave theirs, and waiting jobs, kept up with each
// change, so that a plan looks only at what can matter to it. A plan made on it is the plan that looking at
// everything would make, ties included.

#include <memory>
#include <queue>
#include <roaring/roaring.hh>
#include <unordered_map>

#include "wrenusher/placement/placement.hpp"

namespace wrenusher::placement {

struct Placement {
  std::uint32_t job = 0;      ///< slot
  std::uint32_t machine = 0;  ///< slot
  std::uint32_t tasks = 0;
  bool operator==(const Placement&) const = default;
};

struct Plan {
  std::vector<Placement> placements;
  std::vector<Shortage> shortages;  ///< `job` is a slot
};

/// What a plan needs to know besides what stands on the board.
struct PlanningContext {
  WallTime now{};
  Instant instant{};
  const Settings* settings = nullptr;
  const std::map<std::string, Resources>* team_usage = nullptr;  ///< what each team's claims use
  /// Cores of machines on their way, by type.
  std::vector<std::pair<const MachineType*, Amount>> starting_cores;
};

class PlacementIndex {
 public:
  using Slot = std::uint32_t;

  // Machines. What a PlanMachine points to must live as long as it stands here, or until it is set anew.
  Slot new_machine();
  /// `cores`: what its type adds to those that serve waiting work. While it is not `open` it gets nothing,
  /// but its places count.
  void set_machine(Slot slot, PlanMachine host, std::vector<EndingTask> leaving, Amount cores, bool open);
  /// Its fetches went on; which there are is as it was.
  void set_fetches(Slot slot, std::vector<PlannedFetch> pulls);
  void drop_machine(Slot slot);
  /// Null: nothing stands there.
  const PlanMachine* machine(Slot slot) const;
  const std::vector<EndingTask>& ending_tasks(Slot slot) const;
  /// Machines that have the image or fetch it.
  std::vector<Slot> machines_with_image(const std::string& image) const;

  // Jobs of which something waits.
  Slot new_job();
  /// The settings' aims must not change while it stands here.
  void set_job(Slot slot, PlanJob job, const std::vector<Objective>& objectives);
  void drop_job(Slot slot);
  const PlanJob& job(Slot slot) const { return jobs_[slot].job; }

  /// Among machines with room now the least finish, job by job in their order. A task of an array is left
  /// waiting instead where, by the estimates, a place on a machine that has its image becomes free before the
  /// image could be fetched here. What is placed is not taken off the board: the caller claims it, and sets
  /// the machines anew.
  Plan plan(const PlanningContext& context);
  /// The waiting jobs in the order in which they are served.
  std::vector<Slot> service_order(const PlanningContext& context);
  /// How a job stands against its next target.
  Slack deadline_slack(Slot job, WallTime now) const { return slack(jobs_[job].aims, now); }

  /// What the last plan looked at.
  struct PlanStatistics {
    std::uint64_t jobs = 0;
    std::uint64_t machines = 0;
    std::uint64_t futures = 0;
  };
  const PlanStatistics& statistics() const { return statistics_; }
  void clear();

 private:
  static constexpr std::uint32_t kNoRoom = ~0U;
  // Machines alike in all that decides who may use them.
  struct MachineClass {
    const MachineType* machine_type = nullptr;
    std::string zone;
    bool spot = false;
    std::vector<std::string> reserved_devices;  ///< devices that are kept for those who want them
    /// Open machines by the size of their free room, in powers of two.
    std::map<std::uint32_t, Roaring> by_size_class;
  };
  using MachineClassKey = std::tuple<const MachineType*, std::string, bool, std::vector<std::string>>;
  using ConstraintKey = std::tuple<Amount, Amount, Amount, std::vector<std::string>, std::string, bool,
                                   std::set<std::string>, std::vector<std::string>>;
  // Jobs alike in what they need and where they may go.
  struct ConstraintClass {
    std::size_t jobs = 0;
    std::map<ConstraintKey, std::uint32_t>::const_iterator key;
    std::vector<char> admits;         ///< by kind; grows with the kinds
    std::vector<char> fitting_types;  ///< by type: 1 where a task fits, room or not
    std::vector<Amount> core_equivalents;
    std::uint64_t exhausted_in_plan = 0;  ///< the plan in which no machine had room for one any more
  };
  struct TypeEntry {
    const MachineType* machine_type = nullptr;
    Amount cores = 0;
  };
  struct MachineEntry {
    bool present = false;
    bool open = false;
    std::uint32_t machine_class = 0;
    std::uint32_t size_class = kNoRoom;  ///< under which size it is filed
    Amount cores = 0;
    std::uint32_t type = 0;
    PlanMachine machine;
    std::vector<EndingTask> ending_tasks;
    std::vector<std::uint32_t> futures;    ///< of `leaving`, in the same order
    std::vector<std::uint32_t> images;     ///< cached or fetched
    std::uint64_t set_count = 0;           ///< how many times, to tell late timers
    std::vector<Micros> times_until_free;  ///< while it moves, as of that plan
    std::uint64_t times_plan = 0;
  };
  /// A place that will be free.
  struct FutureCapacity {
    Resources room;           ///< of the machine once it is
    std::uint32_t index = 0;  ///< among the machine's
    std::uint32_t machine_class = 0;
    std::uint64_t reserved_in_plan = 0;  ///< the plan in which a task waits for it
  };
  struct FutureEntry {
    std::int64_t key;  ///< when it leaves, or how long from now, by the list it is in
    std::uint32_t future;
    Slot machine;
  };
  struct UpcomingPlace {
    Micros available_in;
    std::uint32_t future;
  };
  /// Places in rising order; before `head` all are taken in this plan.
  struct FutureList {
    std::vector<FutureEntry> entries;
    std::size_t head = 0;
  };
  /// Those whose room will be of one size.
  struct SizeClassFutures {
    FutureList by_end;
    FutureList by_wait;  ///< so long from now however late it is
    FutureList moved;  ///< of machines with fetches under way, as long from now: reckoned anew for each plan
  };
  /// The places to come on machines that hold one image.
  struct ImageFutures {
    std::map<std::uint32_t, SizeClassFutures> lines;  ///< by size class
    Roaring fetching_machines;                        ///< machines with fetches under way
    std::vector<Slot> changed;
    std::uint64_t valid_for_plan = 0;  ///< it is as that one needs it
  };
  struct ImageEntry {
    std::string image;
    Roaring holders;
    std::size_t waiting_jobs = 0;    ///< jobs of which something waits
    std::size_t waiting_arrays = 0;  ///< arrays that wait for such places; without any there is no shelf
    std::unique_ptr<ImageFutures> futures;
  };
  struct JobEntry {
    bool present = false;
    PlanJob job;
    Aims aims;
    std::uint32_t constraint_class = 0;
    std::uint32_t image = 0;
    std::uint32_t team = 0;
    bool uses_futures = false;
    bool in_service_order = false;  ///< in order_
    std::size_t live_index = 0;     ///< in live_jobs_
  };
  struct ServiceKey {
    Priority priority;
    bool beyond_guarantee;
    DeadlineStatus status;
    Micros pressed_for;
    Micros negative_rank;
    std::int64_t deadline;
    std::int64_t accepted;
    auto operator<=>(const ServiceKey&) const = default;
  };
  struct Candidate {
    Slot machine;
    Micros finish;
    Amount size;
    int cost;
    double misfit;
    std::uint32_t task_capacity;
    Micros fetch;
  };
  struct Scope {
    std::string zone;  ///< empty: any
    std::optional<topology::DomainId> domain;
    bool operator==(const Scope&) const = default;
  };
  struct PlacementChoice {
    std::vector<Placement> placements;
    std::uint32_t tasks = 0;
  };
  /// Places in view for one array.
  struct UpcomingView {
    std::vector<UpcomingPlace> places;
    std::uint32_t within(Micros time, std::uint32_t tasks) const;
  };

  std::uint32_t machine_class_of(const PlanMachine& machine);
  std::uint32_t constraint_class_of(const PlanJob& job);
  void release_constraint_class(std::uint32_t id);
  std::uint32_t type_id_of(const MachineType& machine_type);
  std::uint32_t image_id_of(const std::string& image);
  bool admits(Slot job, std::uint32_t kind);
  void update_fitting_types(ConstraintClass& likes, const PlanJob& job) const;
  void index_machine(Slot slot);
  void unindex_machine(Slot slot);
  void index_free_room(Slot slot, const Resources& room);
  static std::uint32_t size_class(const Resources& room);
  /// Whether a size class may hold what needs the other: each of the three is at least as wide.
  static bool covers(std::uint32_t room, std::uint32_t need);
  void mark_futures_changed(const MachineEntry& entry, Slot slot);
  void schedule_timer(Slot slot);
  void run_timers(Instant clock);
  bool is_earlier(const FutureEntry& a, const FutureEntry& b) const;
  void refresh_futures(ImageEntry& image, const JobSpec& spec);
  void add_futures(ImageFutures& shelf, Slot slot);
  const std::vector<Micros>& times_until_free(Slot slot);
  void merge_sorted(std::vector<FutureEntry>& entries, std::size_t sorted) const;
  void release_image(std::uint32_t id);
  UpcomingView upcoming_places(const JobEntry& entry, std::uint32_t want);

  void rank_jobs(const PlanningContext& context);
  std::vector<char> shed_overload(const PlanningContext& context);
  const PlanMachine& current_state(Slot slot) const;
  PlanMachine& planned_state(Slot slot);
  std::vector<Candidate> candidates(Slot job, std::uint32_t want);
  std::vector<Scope> scopes(const PlanJob& job, const std::vector<Candidate>& found) const;
  /// Spreads up to `want` tasks over the machines, as far as zones, layout and places in view allow. With
  /// `strict` what the layout prefers binds as well.
  PlacementChoice choose_places(Slot job, const std::vector<Candidate>& found, const UpcomingView& view,
                                std::uint32_t want, const Scope& scope, bool strict) const;
  PlacementChoice best_choice(Slot job, const std::vector<Candidate>& found, const UpcomingView& view,
                              std::uint32_t want) const;
  void apply_choice(const PlacementChoice& choice, const JobSpec& spec);
  void reserve_for_gang(Slot job, std::uint32_t tasks, Micros within);
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
  /// When places come to be so late that they are believed to last so long from now: time, machine, its
  /// count.
  using Timer = std::tuple<Instant, Slot, std::uint64_t>;
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
  std::vector<char> marked_machines_;             ///< by machine, for one pass at a time
  std::map<Slot, PlanMachine> planned_machines_;  ///< machines as this plan has booked them
  PlanStatistics statistics_;
};

}  // namespace wrenusher::placement
