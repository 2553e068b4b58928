#pragma once
// Package events: the typed messages that actors send each other through sinks, and nothing else. It owns no
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

namespace wrenusher::events {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

// ---- membership

/// A term began or ended, here or elsewhere.
struct TermChanged {
  bool leading = false;
  std::uint64_t fencing_token = 0;  ///< the highest this node knows
  std::uint64_t mod_revision =
      0;                      ///< of the `leader` key while leading: a condition of every scheduling write
  std::string leader;         ///< empty: not known
  Instant vacancy_noticed{};  ///< while leading: when the end of the last hold was seen here; 0: it was none
  Instant last_heartbeat{};   ///< while leading: when the last leader was last heard; 0: never
};

/// Until when this node is certain to be the only leader.
struct LeaseValidity {
  Instant until{};
};

/// How much of what a leader knows a node has that does not lead.
enum class Readiness {
  cold,  ///< nothing
  part,  ///< the records or the hints
  warm   ///< both
};

/// What a peer says of itself.
struct PeerStatus {
  std::string node;
  std::uint64_t fencing_token = 0;
  std::string leader;
  bool leading = false;
  bool kv_reachable = false;
  bool receives_reports = false;
  std::vector<std::string> cancelled;
  topology::TopologyVersion topology;         ///< what it has read from its file
  topology::TopologyVersion active_topology;  ///< while it leads
  Readiness readiness = Readiness::cold;
  bool abstains = false;  ///< it has given the lead away and does not want it back yet
  /// When the question went out that this answers: the peer was there then. Nothing: it came by itself.
  std::optional<Instant> asked_at;
  std::string successor;  ///< whom it wants to lead now; empty: nobody
  /// Everything that it had announced when it said this is known here; otherwise the rest follows.
  bool announcements_complete = true;
};

/// A worker or a peer showed an epoch above ours, or a write failed on the `leader` key.
struct LeadershipLost {
  std::uint64_t fencing_token = 0;
};

/// Whether workers that should report to this leader do.
struct WorkerReachability {
  bool receives_nothing = false;
  bool replies_lost = false;  ///< they report, but show nothing of what they are answered
  bool receives_reports = false;
  bool had_workers = false;  ///< some reported in this term
  bool starved = false;      ///< this node stood still for most of the last seconds
};

/// This node gives the lead away now. Empty: to whoever comes first.
struct SteppingDown {
  std::string successor;
};

// ---- standby

/// Something for one peer that rides with the next heartbeat, or has come with one.
struct HeartbeatAttachment {
  std::string peer;
  Value value;
};

/// A heartbeat has gone out: what is to ride with the next one is wanted.
struct HeartbeatSent {};

/// What a leader knows of a machine that no record holds. A hint: it may order and estimate, never prove.
struct MachineHint {
  struct Image {
    std::string image;
    double gb = 0;
  };
  struct Fetch {
    std::string image;
    double size_gb = 0;
    double remaining_gb = 0;
  };
  struct Failure {
    std::string job_id;  ///< of the job whose task failed there
    Micros ago{};
  };
  std::string host;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  bool silent = false;
  bool has_room = false;  ///< something on it was free
  std::uint64_t incarnation = 0;
  int speed_samples = 0;      ///< tasks that `slowness` is the median of
  double slowness = 0;        ///< logarithm of (seen / expected) against other tasks of the same jobs
  Micros age{};               ///< at the receiver
  std::vector<Image> images;  ///< those used longest ago first
  std::vector<Fetch> fetches;
  std::vector<Failure> failures;
};

/// What the last jobs of a queue showed of its owners' estimates.
struct JobClassHint {
  struct JobSample {
    std::string job_id;
    double sum = 0;  ///< of logarithms of (seen / expected)
    int tasks = 0;
  };
  std::string job_class;
  std::vector<JobSample> jobs;
};

/// A job that failed on machines.
struct JobHint {
  std::string job_id;
  std::vector<std::string> hosts;
  Micros retry_pause{};  ///< until it is tried again
  int retry_count = 0;
};

/// A machine that was rented and is not up yet.
struct RentalHint {
  std::string host;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  Micros age{};
  Micros report_due{};  ///< to report within
};

/// A rental that was asked for and not answered yet.
struct RentalRequestHint {
  std::string name;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};

/// Machines of which something changed since they were last told; the queues and jobs likewise.
struct LeaderHints {
  std::vector<MachineHint> machines;
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
};

/// All rentals and bookings under way.
struct RentalHints {
  std::vector<RentalHint> rentals;
  std::vector<RentalRequestHint> requests;
};

/// What the last leader had told when this node's term began.
struct InheritedHints {
  std::uint64_t term = 0;  ///< the term that begins
  bool complete = false;   ///< all that it had, a heartbeat ago
  std::map<std::string, MachineHint> machines;
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
  RentalHints rentals;
};

/// The records as this node's copy had them, checked against the state service after the term was won. Null:
/// they are to be read.
struct ReplicaVerified {
  std::uint64_t term = 0;
  std::shared_ptr<const records::RecordSnapshot> snapshot;
};

/// The parts of a takeover, each since the term was won; negative: has not come.
struct FailoverTimes {
  std::uint64_t term = 0;
  bool from_replica = false;  ///< records by copy
  Micros silence{-1};         ///< from the last leader's last word to the term
  Micros vacancy{-1};         ///< from the end of its hold as it was seen here to the term
  Micros records_read{-1};    ///< the records were there
  Micros first_machine{-1};   ///< the first worker was heard that has taken the term's epoch
  Micros first_start{-1};     ///< a report showed the first task that this term had claimed
  Micros last_machine{-1};    ///< nine in ten, and the last, of those that were known before and are heard
  Micros most_machines{-1};
  Micros all_located{-1};  ///< of every claim that the last term left it is known where it stands
  Micros reported_after{};
  std::uint32_t machines = 0;  ///< heard
  std::uint32_t missing = 0;   ///< known before and not heard
};

// ---- the topology

/// This node's file was read and is whole; null: it names none.
struct TopologyLoaded {
  std::shared_ptr<const topology::Topology> topology;
};

/// What decisions are to be made by from now on: the leader's, or at other nodes this node's own where it is
/// the one in force.
struct TopologyActivated {
  std::shared_ptr<const topology::Topology> topology;  ///< null: none
  topology::TopologyVersion version;                   ///< the one in force, which a leader may lack
  bool agreed = true;  ///< false: another one is in force elsewhere, and nothing may be judged by this one
};

/// All machines that get nothing new because their domain is lost, or came back only just now.
struct MachinesSuspected {
  std::set<std::string> hosts;
};

// ---- users

/// A user is told that this job is cancelled, here or elsewhere, or the state service says that it is. Sent
/// before the answer to the user.
struct JobCancelled {
  std::string job_id;
};

/// How far a job has got, as users are told of it. Answers about it never go back.
enum class JobStage {
  absent,    ///< not known
  accepted,  ///< pending or running
  finished   ///< done or withdrawn
};

/// This node is about to tell a user that the job has got so far, and waits for its peers to know; or a peer
/// is; or, the other way, every peer knows.
struct StageAnnouncement {
  std::string job_id;
  JobStage stage = JobStage::accepted;
};

/// What a follow of the live records has shown of jobs.
struct RecordsChanged {
  std::vector<std::string> live;
  std::vector<std::string> ended;
  void put(const std::string& key, const Value& record) {
    if (auto cancelled = records::cancelled_job(key, record)) {
      ended.push_back(std::move(*cancelled));
    } else if (auto job_id = records::parse_job_key(key)) {
      live.push_back(std::move(*job_id));
    }
  }
  void erase(const std::string& key) {
    if (auto job_id = records::parse_job_key(key)) ended.push_back(std::move(*job_id));
  }
};

/// The state service was asked then, and has answered with every cancellation of a live job that it had.
struct CancellationsRead {
  Instant asked_at{};
  std::vector<std::string> job_ids;  ///< those that are new to the reader
};

/// Every cancellation that any user was told before `through` has been handed out as JobCancelled.
struct CancellationsKnown {
  Instant through = Instant::min();
  std::string slowest_peer;  ///< the peer that was not heard for longest
};

/// Task counts of the live jobs as the leader last told them, for display alone.
struct Progress {
  struct Row {
    std::string job_id;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// The jobs that a page is about: names beyond the first, up to the second; empty: to the end.
  struct Part {
    std::string after;
    std::string through;
    bool contains(const std::string& job_id) const {
      return job_id > after && (through.empty() || job_id <= through);
    }
  };
  std::vector<Row> rows;
  std::optional<Part> part;  ///< nothing: the rows are all there are
};

/// The machine types, as the cloud or the state service last gave them.
struct CatalogUpdated {
  std::shared_ptr<const Catalog> catalog;
};

// ---- workers and machines

/// A worker's newest word.
struct WorkerReported {
  std::shared_ptr<const WorkerReport> report;
  /// The worker has accepted this term's epoch: nothing an earlier leader sent can start any more.
  bool token_accepted = false;
  /// A report, not the answer to /orders: what was sent in the response before it is settled.
  bool settled = false;
  /// Takes the orders; to be called once.
  std::function<void(std::vector<WorkerCommand>)> reply;
};

/// A worker has not been heard for long. It proves nothing about its tasks.
struct WorkerSilent {
  std::string host;
};

/// Proof: the cloud has taken the machine away with everything on it.
struct MachineDeparted {
  std::string host;
};

/// Orders that should not wait for the worker's next report. Never `run`: sent this way it could be executed
/// minutes late.
struct DirectCommands {
  std::string host;
  std::vector<WorkerCommand> commands;
};

/// A machine that gets no new tasks any more, since it is about to be returned.
struct MachineCordoned {
  std::string host;
  std::string reason;
};

/// A machine that the cloud's list names for the first time in this term.
struct MachineListed {
  std::string host;
  std::string address;
};

/// Machine types of which the cloud has none to give at present.
struct CapacityChanged {
  std::set<std::string> exhausted;
  std::map<std::string, std::uint32_t> starting;  ///< machines rented that are not up yet
};

/// What the provisioner needs to know, once a round at most.
struct Workload {
  struct Demand {
    JobSpec spec;
    std::uint32_t tasks = 0;
    std::uint32_t expected_soon = 0;  ///< of them have a place in view
    Micros estimate{};
    Micros slack{};                        ///< how long it may wait for its start
    std::set<std::string> excluded_types;  ///< types booked for jobs that fit nowhere else
    /// Types and zones in which a machine could serve its layout; nothing: any.
    std::optional<std::set<std::pair<std::string, std::string>>> eligible_placements;
  };
  struct MachineLoad {
    std::string host;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    bool usable = false;
    std::uint32_t assignments = 0;
    // As cores, see placement::in_cores.
    Amount reserved = 0;            ///< of its claims
    Amount running = 0;             ///< of those that run
    Amount service_load = 0;        ///< of those that do not end
    bool has_named_device = false;  ///< a named device: no rented machine would bring another
  };
  std::vector<Demand> demands;  ///< in the order of service
  std::vector<MachineLoad> machines;
};

}  // namespace wrenusher::events
