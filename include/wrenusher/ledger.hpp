#pragma once
// The leader's picture of live jobs: claims, done sets, final states, and the rounds that place and commit.

#include <memory>
#include <set>
#include <unordered_map>

#include "wrenusher/estimator.hpp"
#include "wrenusher/fleet.hpp"
#include "wrenusher/frontdesk.hpp"
#include "wrenusher/planner.hpp"
#include "wrenusher/range_set.hpp"
#include "wrenusher/records.hpp"
#include "wrenusher/store.hpp"

namespace wrenusher {

/// A machine that gets no new tasks any more, since it is about to be returned.
struct HostCondemned {
  std::string host;
  std::string why;
};

/// Machine types of which the cloud has none to give at present.
struct CapacitySeen {
  std::set<std::string> exhausted;
};

/// What the provisioner needs to know, once a round at most.
struct Workload {
  struct Demand {
    JobSpec spec;
    std::uint32_t tasks = 0;
    Micros estimate{};
    std::set<std::string> keep_off;  ///< types booked for jobs that fit nowhere else
  };
  struct HostLoad {
    std::string host;
    std::string flavor;
    std::string site;
    bool standby = false;
    bool usable = false;
    std::uint32_t claims = 0;
  };
  std::vector<Demand> demands;  ///< in the order of service
  std::vector<HostLoad> hosts;
};

class Ledger {
 public:
  Ledger(Runtime& rt, const Settings& settings, Store& store);
  void start();

  void on_term(const TermChanged& t);
  void on_certainty(const Certainty& c) { certain_until_ = c.until; }
  void on_report(const HostReported& in);
  void on_quiet(const HostQuiet& q);
  void on_gone(const HostGone& g);
  void on_condemned(const HostCondemned& c);
  void on_catalog(const CatalogSeen& c) { catalog_ = c.catalog; }
  void on_withdrawn(const JobWithdrawn& w);
  void on_capacity(const CapacitySeen& c) { exhausted_ = c.exhausted; }

  Sink<Workload> workload;
  Sink<DirectOrders> direct;
  Sink<Deposed> deposed;
  Sink<HostCondemned> suspect;

 private:
  enum class Phase {
    fresh,   ///< claimed in this term, not yet shown by a report
    loaded,  ///< found in the record at takeover, not yet shown by a report
    pulling,
    gathering,
    running,
    saving
  };
  struct Claim {
    std::string host;
    std::uint64_t attempt = 0;
    std::uint64_t version = 0;
    Phase phase = Phase::fresh;
    Instant running_since{};
    bool halt = false;
    Micros leeway{};
  };
  struct Block {
    std::uint64_t stamp = 0;      ///< 0: not in the store
    std::uint64_t version = 0;    ///< of the last change in memory
    std::uint64_t committed = 0;  ///< changes up to this one are in the store
  };
  struct Job {
    records::JobRecord rec;
    std::uint64_t stamp = 0;
    std::vector<Block> blocks;
    RangeSet done;
    RangeSet waiting;
    std::map<std::uint32_t, Claim> claims;
    std::map<std::uint32_t, std::uint64_t> fresh_done;  ///< done, not yet committed: task -> version
    std::uint64_t last_try = 0;
    bool refresh = false;  ///< the store must be read before the next write
    bool broken = false;   ///< gang: the attempt is over, its tasks are being cleared away
    std::map<std::string, Instant> avoid;
    std::set<std::string> error_hosts;
    Instant not_before{};
    int backoffs = 0;
  };
  struct Machine {
    std::string flavor;
    std::string site;
    bool standby = false;
    bool current = false;
    bool quiet = false;
    bool condemned = false;
    bool warned = false;
    std::uint64_t tenure = 0;
    Instant full_until{};
    std::set<std::pair<std::string, std::uint32_t>> claims;  ///< (job, task) booked here
    std::map<std::string, std::uint64_t> images;             ///< bundle -> order of its last use
    std::map<std::string, double> image_gb;
    std::map<std::string, Instant> errors;  ///< job -> when its task failed here
    /// Whether it may get new tasks.
    bool usable() const { return current && !quiet && !condemned && !warned; }
  };
  struct Pending {
    std::vector<std::string> jobs;
    std::vector<std::pair<std::string, std::uint32_t>> blocks;
    std::vector<std::uint64_t> versions;
    std::vector<std::string> finished;
  };

  // Takeover and news from the store
  void load(const std::string& from, std::uint64_t revision, std::uint64_t term);
  bool accept_row(const Row& row);
  void loaded(std::uint64_t revision);
  void follow(std::uint64_t from, std::uint64_t term);
  void news(const FollowReply& f);
  void refresh(const std::string& ref);

  // Changes of the picture
  Job* find(const std::string& ref);
  Machine& machine(const std::string& host);
  void drop(const std::string& ref);
  void touch(Job& job, std::uint32_t task);
  void claim(Job& job, std::uint32_t task, const std::string& host, std::uint64_t attempt, Phase phase);
  void unclaim(Job& job, std::uint32_t task);
  void release(Job& job, std::uint32_t task, const char* why);
  void finish_task(Job& job, std::uint32_t task);
  void fail_task(Job& job, Machine& m, const std::string& host, const UnitReport& u);
  void mark_withdrawn(Job& job);
  void break_gang(Job& job);
  void show(Job& job, Claim& c, Machine& m, const UnitReport& u);
  void settle_warning(Machine& m, const std::string& host, Micros left);
  void use_image(Machine& m, const JobSpec& spec);
  bool committed(const Job& job, std::uint32_t task, std::uint64_t version) const;
  std::uint32_t block_of(const Job& job, std::uint32_t task) const { return task / job.rec.block; }

  // Rounds
  void tick();
  void round();
  void plan();
  void see_sought();
  void make_room(const planner::Snapshot& s, const std::vector<planner::Shortage>& shortages);
  std::set<std::string> keep_off(const Job& job, WallTime now) const;
  bool is_sought(const std::string& flavor) const;
  bool patience_over(const Job& job, WallTime now) const;
  void flush();
  bool add_final(const std::string& ref, Job& job, std::vector<Condition>& when, std::vector<Change>& apply,
                 Pending& pending);
  void settle(const Commit& c, const Pending& p, std::uint64_t term);
  Value block_value(const Job& job, std::uint32_t n) const;
  void publish(const planner::Snapshot& s, const planner::Plan& p);

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  Estimator estimator_;
  std::shared_ptr<const Catalog> catalog_;
  TermChanged term_;
  Instant certain_until_{};
  Instant term_began_{};
  bool loaded_ = false;
  bool committing_ = false;
  Instant commit_not_before_{};
  std::uint64_t clock_ = 0;
  unsigned publish_count_ = 0;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::set<std::string> dirty_;
  std::vector<std::string> leftovers_;  ///< blocks of jobs that are over
  std::map<std::string, Needs> teams_;  ///< what each team's claims use
  std::set<std::string> exhausted_;
  /// Types that some job needs because it fits no other: until when they are kept for such jobs.
  std::map<std::string, Instant> sought_until_;
};

}  // namespace wrenusher
