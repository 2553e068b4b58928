#pragma once
// Package mail: the typed messages that actors send each other through sinks, and nothing else. It owns no
// state. It may depend on base, settings, protocol, topology and records; every actor may use it, so that
// none needs another's header. A new message is a struct here, a sink at its sender and a line in the
// controller's wiring.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::mail {

using namespace base;
using namespace protocol;

// ---- membership

/// A term began or ended, here or elsewhere.
struct TermChanged {
  bool leading = false;
  std::uint64_t epoch = 0;  ///< the highest this node knows
  std::uint64_t stamp = 0;  ///< of the `leader` key while leading: a condition of every scheduling write
  std::string leader;       ///< empty: not known
  Instant noticed{};        ///< while leading: when the end of the last hold was seen here; 0: it was none
  Instant last_word{};      ///< while leading: when the last leader was last heard; 0: never
};

/// Until when this node is certain to be the only leader.
struct Certainty {
  Instant until{};
};

/// How much of what a leader knows a node has that does not lead.
enum class Readiness {
  cold,  ///< nothing
  part,  ///< the records or the hints
  warm   ///< both
};

/// What a peer says of itself.
struct PeerNews {
  std::string node;
  std::uint64_t epoch = 0;
  std::string leader;
  bool leading = false;
  bool store = false;
  bool hears_workers = false;
  std::vector<std::string> withdrawn;
  topology::Edition topology;  ///< what it has read from its file
  topology::Edition in_force;  ///< while it leads
  Readiness ready = Readiness::cold;
  bool abstains = false;  ///< it has given the lead away and does not want it back yet
  /// When the question went out that this answers: the peer was there then. Nothing: it came by itself.
  std::optional<Instant> reached;
  std::string successor;  ///< whom it wants to lead now; empty: nobody
  /// Everything that it had announced when it said this is known here; otherwise the rest follows.
  bool announced_all = true;
};

/// A worker or a peer showed an epoch above ours, or a write failed on the `leader` key.
struct Deposed {
  std::uint64_t epoch = 0;
};

/// Whether workers that should report to this leader do.
struct Hearing {
  bool deaf = false;
  bool mute = false;  ///< they report, but show nothing of what they are answered
  bool hears_workers = false;
  bool had_workers = false;  ///< some reported in this term
  bool starved = false;      ///< this node stood still for most of the last seconds
};

/// This node gives the lead away now. Empty: to whoever comes first.
struct Ceding {
  std::string successor;
};

// ---- standby

/// Something for one peer that rides with the next heartbeat, or has come with one.
struct Aside {
  std::string peer;
  Value value;
};

/// A heartbeat has gone out: what is to ride with the next one is wanted.
struct BeatSent {};

/// What a leader knows of a machine that no record holds. A hint: it may order and estimate, never prove.
struct MachineHint {
  struct Image {
    std::string bundle;
    double gb = 0;
  };
  struct Fetch {
    std::string bundle;
    double size_gb = 0;
    double left_gb = 0;
  };
  struct Failure {
    std::string ref;  ///< of the job whose task failed there
    Micros ago{};
  };
  std::string host;
  std::string addr;
  std::string flavor;
  std::string site;
  bool standby = false;
  bool quiet = false;
  bool room = false;  ///< something on it was free
  std::uint64_t tenure = 0;
  int speed_seen = 0;         ///< tasks that `slowness` is the median of
  double slowness = 0;        ///< logarithm of (seen / expected) against other tasks of the same jobs
  Micros told_ago{};          ///< at the receiver
  std::vector<Image> images;  ///< those used longest ago first
  std::vector<Fetch> fetches;
  std::vector<Failure> failures;
};

/// What the last jobs of a queue showed of its owners' estimates.
struct QueueHint {
  struct Seen {
    std::string ref;
    double sum = 0;  ///< of logarithms of (seen / expected)
    int tasks = 0;
  };
  std::string queue;
  std::vector<Seen> jobs;
};

/// A job that failed on machines.
struct JobHint {
  std::string ref;
  std::vector<std::string> hosts;
  Micros pause{};  ///< until it is tried again
  int backoffs = 0;
};

/// A machine that was rented and is not up yet.
struct RentalHint {
  std::string host;
  std::string flavor;
  std::string site;
  bool standby = false;
  Micros held{};
  Micros awaited{};  ///< to report within
};

/// A rental that was asked for and not answered yet.
struct BookingHint {
  std::string name;
  std::string flavor;
  std::string site;
  bool standby = false;
  std::uint32_t count = 0;
};

/// Machines of which something changed since they were last told; the queues and jobs likewise.
struct LedgerHints {
  std::vector<MachineHint> machines;
  std::vector<QueueHint> queues;
  std::vector<JobHint> jobs;
};

/// All rentals and bookings under way.
struct RentalHints {
  std::vector<RentalHint> rentals;
  std::vector<BookingHint> bookings;
};

/// What the last leader had told when this node's term began.
struct Inheritance {
  std::uint64_t term = 0;  ///< the term that begins
  bool whole = false;      ///< all that it had, a heartbeat ago
  std::map<std::string, MachineHint> machines;
  std::vector<QueueHint> queues;
  std::vector<JobHint> jobs;
  RentalHints rentals;
};

/// The records as this node's copy had them, checked against the state service after the term was won. Null:
/// they are to be read.
struct RecordsCopied {
  std::uint64_t term = 0;
  std::shared_ptr<const records::Snapshot> snapshot;
};

/// The parts of a takeover, each since the term was won; negative: has not come.
struct TakenOver {
  std::uint64_t term = 0;
  bool warm = false;         ///< records by copy
  Micros silence{-1};        ///< from the last leader's last word to the term
  Micros noticed{-1};        ///< from the end of its hold as it was seen here to the term
  Micros read{-1};           ///< the records were there
  Micros first_machine{-1};  ///< the first worker was heard that has taken the term's epoch
  Micros first_start{-1};    ///< a report showed the first task that this term had claimed
  Micros last_machine{-1};   ///< nine in ten, and the last, of those that were known before and are heard
  Micros most_machines{-1};
  Micros whole{-1};  ///< of every claim that the last term left it is known where it stands
  Micros told_after{};
  std::uint32_t machines = 0;  ///< heard
  std::uint32_t missing = 0;   ///< known before and not heard
};

// ---- the topology

/// This node's file was read and is whole; null: it names none.
struct TopologyRead {
  std::shared_ptr<const topology::Topology> topology;
};

/// What decisions are to be made by from now on: the leader's, or at other nodes this node's own where it is
/// the one in force.
struct TopologyInForce {
  std::shared_ptr<const topology::Topology> topology;  ///< null: none
  topology::Edition edition;                           ///< the one in force, which a leader may lack
  bool agreed = true;  ///< false: another one is in force elsewhere, and nothing may be judged by this one
};

/// All machines that get nothing new because their domain is lost, or came back only just now.
struct Doubted {
  std::set<std::string> hosts;
};

// ---- users

/// A user is told that this job is cancelled, here or elsewhere, or the state service says that it is. Sent
/// before the answer to the user.
struct JobWithdrawn {
  std::string ref;
};

/// How far a job has got, as users are told of it. Answers about it never go back.
enum class Level {
  absent,    ///< not known
  accepted,  ///< pending or running
  over       ///< done or withdrawn
};

/// This node is about to tell a user that the job has got so far, and waits for its peers to know; or a peer
/// is; or, the other way, every peer knows.
struct Announcement {
  std::string ref;
  Level level = Level::accepted;
};

/// What a follow of the live records has shown of jobs.
struct RecordsFollowed {
  std::vector<std::string> live;
  std::vector<std::string> over;
  void put(const std::string& key, const Value& record) {
    if (auto cancelled = records::cancelled_job(key, record)) {
      over.push_back(std::move(*cancelled));
    } else if (auto ref = records::parse_job_key(key)) {
      live.push_back(std::move(*ref));
    }
  }
  void gone(const std::string& key) {
    if (auto ref = records::parse_job_key(key)) over.push_back(std::move(*ref));
  }
};

/// The state service was asked then, and has answered with every cancellation of a live job that it had.
struct CancellationsRead {
  Instant asked{};
  std::vector<std::string> refs;  ///< those that are new to the reader
};

/// Every cancellation that any user was told before `through` has been handed out as JobWithdrawn.
struct CancellationsKnown {
  Instant through = Instant::min();
  std::string behind;  ///< the peer that was not heard for longest
};

/// Task counts of the live jobs as the leader last told them, for display alone.
struct Progress {
  struct Row {
    std::string ref;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// The jobs that a page is about: names beyond the first, up to the second; empty: to the end.
  struct Part {
    std::string after;
    std::string through;
    bool contains(const std::string& ref) const { return ref > after && (through.empty() || ref <= through); }
  };
  std::vector<Row> rows;
  std::optional<Part> part;  ///< nothing: the rows are all there are
};

/// The machine types, as the cloud or the state service last gave them.
struct CatalogSeen {
  std::shared_ptr<const Catalog> catalog;
};

// ---- workers and machines

/// A worker's newest word.
struct HostReported {
  std::shared_ptr<const WorkerReport> report;
  /// The worker has accepted this term's epoch: nothing an earlier leader sent can start any more.
  bool current = false;
  /// A report, not the answer to /orders: what was sent in the response before it is settled.
  bool settled = false;
  /// Takes the orders; to be called once.
  std::function<void(std::vector<Order>)> reply;
};

/// A worker has not been heard for long. It proves nothing about its tasks.
struct HostQuiet {
  std::string host;
};

/// Proof: the cloud has taken the machine away with everything on it.
struct HostGone {
  std::string host;
};

/// Orders that should not wait for the worker's next report. Never `run`: sent this way it could be executed
/// minutes late.
struct DirectOrders {
  std::string host;
  std::vector<Order> orders;
};

/// A machine that gets no new tasks any more, since it is about to be returned.
struct HostCondemned {
  std::string host;
  std::string why;
};

/// A machine that the cloud's list names for the first time in this term.
struct HostListed {
  std::string host;
  std::string addr;
};

/// Machine types of which the cloud has none to give at present.
struct CapacitySeen {
  std::set<std::string> exhausted;
  std::map<std::string, std::uint32_t> coming;  ///< machines rented that are not up yet
};

/// What the provisioner needs to know, once a round at most.
struct Workload {
  struct Demand {
    JobSpec spec;
    std::uint32_t tasks = 0;
    std::uint32_t soon = 0;  ///< of them have a place in view
    Micros estimate{};
    Micros spare{};                  ///< how long it may wait for its start
    std::set<std::string> keep_off;  ///< types booked for jobs that fit nowhere else
    /// Types and zones in which a machine could serve its layout; nothing: any.
    std::optional<std::set<std::pair<std::string, std::string>>> reach;
  };
  struct HostLoad {
    std::string host;
    std::string flavor;
    std::string site;
    bool standby = false;
    bool usable = false;
    std::uint32_t claims = 0;
    // As cores, see planner::in_cores.
    Amount booked = 0;     ///< of its claims
    Amount running = 0;    ///< of those that run
    Amount lasting = 0;    ///< of those that do not end
    bool carries = false;  ///< a named device: no rented machine would bring another
  };
  std::vector<Demand> demands;  ///< in the order of service
  std::vector<HostLoad> hosts;
};

}  // namespace wrenusher::mail
