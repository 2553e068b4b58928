#pragma once
// Package job_api: users' requests, on any node. Everything is decided by the state service, nothing by this
// node's memory but final states; it owns the cache of those, the index of live jobs that each question has
// brought up to date (JobIndex), and the answers that wait until they may be given (ReadConsistency). While
// the index is not whole, records are read one by one and compared in groups. It may depend on base,
// settings, protocol, store, records and mail.

#include <deque>
#include <memory>
#include <unordered_map>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/job_api/job_index.hpp"
#include "wrenusher/job_api/read_consistency.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::job_api {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;
using namespace kv_client;
using namespace events;

class JobApi {
 public:
  JobApi(Runtime& runtime, const Settings& settings, KvClient& store);
  /// Begins to read the live jobs, so that questions can be answered from the index.
  void start() { index_.load(); }
  void serve(const Request& request, const Responder& answer);

  void on_topology_activated(const TopologyActivated& event) { topology_ = event; }
  void on_catalog_updated(const CatalogUpdated& event) { catalog_ = event.catalog; }
  void on_progress(const std::shared_ptr<const Progress>& counts);
  void on_peer_status(const PeerStatus& news);
  void on_records_changed(const RecordsChanged& event);
  /// A peer is about to tell a user so.
  void on_stage_announced(const StageAnnouncement& event) {
    consistency_.on_peer_announcement(event.job_id, event.stage, runtime_.now());
  }
  /// Every peer knows that this node is about to.
  void on_stage_confirmed(const StageAnnouncement& event);

  EventSink<JobCancelled> job_cancelled;
  EventSink<StageAnnouncement> stage_announcement;

 private:
  struct JobState {
    std::string status;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// The state of a job; `failed`: the state service could not be asked.
  struct Lookup {
    bool failed = true;
    std::optional<JobState> state;
    Instant asked_at{};       ///< it was so then, or later
    bool queue_full = false;  ///< failed since too much waits here
  };
  /// What to answer a user who asked for a job that is in this state.
  using ResponseFor = std::function<Response(const JobState&)>;
  /// A live record as it was last read.
  struct KnownRecord {
    std::uint64_t mod_revision = 0;
    bool cancelled = false;
  };
  struct PendingCheck {
    std::string job_id;
    std::function<void(Lookup)> done;
  };
  void lookup(const std::string& job_id, std::function<void(Lookup)> done);
  void lookup_in_index(const std::string& job_id, std::function<void(Lookup)> done);
  void read_records(const std::string& job_id, const std::function<void(Lookup)>& done);
  void send_checks();
  void on_checked(std::vector<PendingCheck> asked, const CommitReply& reply);
  void remember_record(const std::string& job_id, const KnownRecord& record);
  JobState live_state(const std::string& job_id, bool gone) const;
  JobState newest_state(const std::string& job_id) const;
  JobStage stage_of(const Lookup& found) const;
  void lookup_consistent(const std::string& job_id, int tries, const std::function<void(Lookup)>& done);
  std::optional<InvalidField> why_never_runs(const JobSpec& spec, const Team* team) const;
  void submit(const Request& request, const Responder& answer);
  void poll(const std::string& job_id, const Responder& answer);
  void cancel_job(const std::string& job_id, int tries, const Responder& answer);
  void announce_and_answer(const std::string& job_id, const Lookup& found, const ResponseFor& say,
                           const Responder& answer);
  void answer_when_consistent(const std::string& job_id, const Lookup& found, const ResponseFor& say,
                              const Responder& answer);
  void release_waiting(const std::string& job_id, JobStage level);
  void answer_known_or(const std::string& job_id, Response otherwise, const Responder& answer);
  void remember_final_state(const std::string& job_id, const JobState& state);
  bool ready() const;

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  std::shared_ptr<const Catalog> catalog_;
  TopologyActivated topology_;
  struct PeerSeen {
    Instant asked_at{};                              ///< the newest question that it answered
    bool kv_reachable = false;                       ///< it has the state service
    Instant announcements_through = Instant::min();  ///< what it had announced by then is known here
  };
  std::map<std::string, PeerSeen> peers_;
  /// Done and running tasks of live jobs.
  std::unordered_map<std::string, std::pair<std::uint64_t, std::uint64_t>> counts_;
  /// Final states never change, so an old answer is as good as a new one.
  std::unordered_map<std::string, JobState> final_states_;
  std::deque<std::string> final_states_order_;
  std::unordered_map<std::string, KnownRecord> known_records_;
  std::deque<std::string> known_records_order_;
  ReadConsistency consistency_;
  JobIndex index_;
  /// Answers that wait until they may be given.
  std::map<std::pair<std::string, JobStage>, std::vector<std::function<void()>>> waiting_answers_;
  /// Questions that the next comparison settles.
  std::deque<PendingCheck> checks_;
  bool checking_ = false;
};

}  // namespace wrenusher::job_api
