#pragma once
// The planner's board: machines with room, tasks that will leave theirs, and waiting jobs, kept up with each
// change, so that a plan looks only at what can matter to it. A plan made on it is the plan that looking at
// everything would make, ties included.

#include <memory>
#include <queue>
#include <roaring/roaring.hh>
#include <unordered_map>

#include "wrenusher/planner/planner.hpp"

namespace wrenusher::planner {

struct Placement {
  std::uint32_t job = 0;   ///< slot
  std::uint32_t host = 0;  ///< slot
  std::uint32_t tasks = 0;
  bool operator==(const Placement&) const = default;
};

struct Plan {
  std::vector<Placement> placements;
  std::vector<Shortage> shortages;  ///< `job` is a slot
};

/// What a plan needs to know besides what stands on the board.
struct Moment {
  WallTime now{};
  Instant clock{};
  const Settings* settings = nullptr;
  const std::map<std::string, Needs>* teams = nullptr;  ///< what each team's claims use
  /// Cores of machines on their way, by type.
  std::vector<std::pair<const Flavor*, Amount>> coming;
};

class Board {
 public:
  using Slot = std::uint32_t;

  // Machines. What a PlanHost points to must live as long as it stands here, or until it is set anew.
  Slot new_host();
  /// `cores`: what its type adds to those that serve waiting work. While it is not `open` it gets nothing,
  /// but its places count.
  void set_host(Slot slot, PlanHost host, std::vector<Leaving> leaving, Amount cores, bool open);
  /// Its fetches went on; which there are is as it was.
  void set_pulls(Slot slot, std::vector<Pull> pulls);
  void drop_host(Slot slot);
  /// Null: nothing stands there.
  const PlanHost* host(Slot slot) const;
  const std::vector<Leaving>& leaving(Slot slot) const;
  /// Machines that have the image or fetch it.
  std::vector<Slot> holders(const std::string& bundle) const;

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
  Plan plan(const Moment& m);
  /// The waiting jobs in the order in which they are served.
  std::vector<Slot> order(const Moment& m);
  /// How a job stands against its next target.
  Slack standing(Slot job, WallTime now) const { return slack(jobs_[job].aims, now); }

  /// What the last plan looked at.
  struct Looked {
    std::uint64_t jobs = 0;
    std::uint64_t hosts = 0;
    std::uint64_t places = 0;
  };
  const Looked& looked() const { return looked_; }
  void clear();

 private:
  static constexpr std::uint32_t kNoRoom = ~0U;
  // Machines alike in all that decides who may use them.
  struct Kind {
    const Flavor* flavor = nullptr;
    std::string site;
    bool standby = false;
    std::vector<std::string> guards;  ///< devices that are kept for those who want them
    /// Open machines by the size of their free room, in powers of two.
    std::map<std::uint32_t, Roaring> roomy;
  };
  using KindKey = std::tuple<const Flavor*, std::string, bool, std::vector<std::string>>;
  using LikesKey = std::tuple<Amount, Amount, Amount, std::vector<std::string>, std::string, bool,
                              std::set<std::string>, std::vector<std::string>>;
  // Jobs alike in what they need and where they may go.
  struct Likes {
    std::size_t jobs = 0;
    std::map<LikesKey, std::uint32_t>::const_iterator key;
    std::vector<char> admits;  ///< by kind; grows with the kinds
    std::vector<char> serves;  ///< by type: 1 where a task fits, room or not
    std::vector<Amount> takes;
    std::uint64_t none_in = 0;  ///< the plan in which no machine had room for one any more
  };
  struct Type {
    const Flavor* flavor = nullptr;
    Amount cores = 0;
  };
  struct Host {
    bool there = false;
    bool open = false;
    std::uint32_t kind = 0;
    std::uint32_t room = kNoRoom;  ///< under which size it is filed
    Amount cores = 0;
    std::uint32_t type = 0;
    PlanHost h;
    std::vector<Leaving> leaving;
    std::vector<std::uint32_t> places;  ///< of `leaving`, in the same order
    std::vector<std::uint32_t> images;  ///< cached or fetched
    std::uint64_t set = 0;              ///< how many times, to tell late timers
    std::vector<Micros> leaves_in;      ///< while it moves, as of that plan
    std::uint64_t leaves_in_plan = 0;
  };
  /// A place that will be free.
  struct Later {
    Needs room;               ///< of the machine once it is
    std::uint32_t index = 0;  ///< among the machine's
    std::uint32_t kind = 0;
    std::uint64_t taken = 0;  ///< the plan in which a task waits for it
  };
  struct Entry {
    std::int64_t key;  ///< when it leaves, or how long from now, by the list it is in
    std::uint32_t place;
    Slot host;
  };
  struct Soon {
    Micros in;
    std::uint32_t place;
  };
  /// Places in rising order; before `head` all are taken in this plan.
  struct Row {
    std::vector<Entry> entries;
    std::size_t head = 0;
  };
  /// Those whose room will be of one size.
  struct Line {
    Row by_end;
    Row by_wait;  ///< so long from now however late it is
    Row moved;    ///< of machines with fetches under way, as long from now: reckoned anew for each plan
  };
  /// The places to come on machines that hold one image.
  struct Shelf {
    std::map<std::uint32_t, Line> lines;  ///< by size class
    Roaring moving;                       ///< machines with fetches under way
    std::vector<Slot> changed;
    std::uint64_t plan = 0;  ///< it is as that one needs it
  };
  struct Image {
    std::string bundle;
    Roaring holders;
    std::size_t users = 0;    ///< jobs of which something waits
    std::size_t waiting = 0;  ///< arrays that wait for such places; without any there is no shelf
    std::unique_ptr<Shelf> shelf;
  };
  struct Job {
    bool there = false;
    PlanJob job;
    Aims aims;
    std::uint32_t likes = 0;
    std::uint32_t image = 0;
    std::uint32_t team = 0;
    bool shelved = false;
    bool listed = false;  ///< in order_
    std::size_t at = 0;   ///< in live_jobs_
  };
  struct Key {
    Urgency urgency;
    bool beyond;
    Standing standing;
    Micros left;
    Micros minus_rank;
    std::int64_t due;
    std::int64_t accepted;
    auto operator<=>(const Key&) const = default;
  };
  struct Candidate {
    Slot host;
    Micros finish;
    Amount size;
    int cost;
    double misfit;
    std::uint32_t fits;
    Micros fetch;
  };
  struct Scope {
    std::string zone;  ///< empty: any
    std::optional<topology::DomainId> domain;
    bool operator==(const Scope&) const = default;
  };
  struct Choice {
    std::vector<Placement> places;
    std::uint32_t tasks = 0;
  };
  /// Places in view for one array.
  struct View {
    std::vector<Soon> places;
    std::uint32_t within(Micros time, std::uint32_t tasks) const;
  };

  std::uint32_t kind_of(const PlanHost& h);
  std::uint32_t likes_of(const PlanJob& job);
  void forget_likes(std::uint32_t id);
  std::uint32_t type_of(const Flavor& f);
  std::uint32_t image_of(const std::string& bundle);
  bool admits(Slot job, std::uint32_t kind);
  void learn_types(Likes& likes, const PlanJob& job) const;
  void file(Slot slot);
  void unfile(Slot slot);
  void file_room(Slot slot, const Needs& room);
  static std::uint32_t size_class(const Needs& room);
  /// Whether a size class may hold what needs the other: each of the three is at least as wide.
  static bool covers(std::uint32_t room, std::uint32_t need);
  void change_shelves(const Host& h, Slot slot);
  void schedule(Slot slot);
  void settle(Instant clock);
  bool earlier(const Entry& a, const Entry& b) const;
  void refresh(Image& image, const JobSpec& spec);
  void shelve(Shelf& shelf, Slot slot);
  const std::vector<Micros>& leaves(Slot slot);
  void sort_in(std::vector<Entry>& entries, std::size_t sorted) const;
  void leave_image(std::uint32_t id);
  View view(const Job& j, std::uint32_t want);

  void rank_jobs(const Moment& m);
  std::vector<char> overload(const Moment& m);
  const PlanHost& now(Slot slot) const;
  PlanHost& booked(Slot slot);
  std::vector<Candidate> candidates(Slot job, std::uint32_t want);
  std::vector<Scope> scopes(const PlanJob& job, const std::vector<Candidate>& found) const;
  /// Spreads up to `want` tasks over the machines, as far as zones, layout and places in view allow. With
  /// `strict` what the layout prefers binds as well.
  Choice choose(Slot job, const std::vector<Candidate>& found, const View& view, std::uint32_t want,
                const Scope& scope, bool strict) const;
  Choice best(Slot job, const std::vector<Candidate>& found, const View& view, std::uint32_t want) const;
  void book(const Choice& choice, const JobSpec& spec);
  void reserve(Slot job, std::uint32_t tasks, Micros within);
  void end_plan();

  std::vector<Host> hosts_;
  std::vector<Slot> free_hosts_;
  std::vector<Kind> kinds_;
  std::map<KindKey, std::uint32_t> kind_ids_;
  std::vector<Type> types_;
  std::map<std::string, std::uint32_t> type_ids_;
  std::vector<Image> images_;
  std::unordered_map<std::string, std::uint32_t> image_ids_;
  std::vector<std::uint32_t> free_images_;
  std::vector<Later> places_;
  std::vector<std::uint32_t> free_places_;
  /// When places come to be so late that they are believed to last so long from now: time, machine, its
  /// count.
  using Timer = std::tuple<Instant, Slot, std::uint64_t>;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;

  std::vector<Job> jobs_;
  std::vector<Slot> free_jobs_;
  std::vector<Slot> live_jobs_;
  std::vector<Likes> likes_;
  std::vector<std::uint32_t> free_likes_;
  std::map<LikesKey, std::uint32_t> likes_ids_;
  std::vector<std::string> teams_;
  std::map<std::string, std::uint32_t> team_ids_;

  std::uint64_t plans_ = 0;
  Instant clock_{};                  ///< of the plan that is being made
  std::vector<Slot> order_;          ///< of the last plan: the next is much the same
  std::vector<Key> keys_;            ///< by slot
  std::vector<Slack> slacks_;        ///< by slot, overload aside
  std::vector<char> mark_;           ///< by machine, for one pass at a time
  std::map<Slot, PlanHost> booked_;  ///< machines as this plan has booked them
  Looked looked_;
};

}  // namespace wrenusher::planner
