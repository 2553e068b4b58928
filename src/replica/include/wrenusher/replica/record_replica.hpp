#pragma once
// The replica of the records in the state service: live jobs and shards (values that hold the blocks of many
// jobs). While another node leads, the replica is kept current by watching the state service. After this node
// has won a term, ReplicaVerifier compares the replica with the service.
//
// The replica is read page by page and then watched, with low-priority background requests. The reply to each
// watch contains the revision up to which no change is missing.
//
// The replica is discarded on any inconsistency: a change older than requested, a revision that went back, a
// value under the wrong key, or changes that the service no longer has.
//
// So the replica is either complete or cold (not complete yet, or discarded and about to be read again), and
// it contains no error that is detectable here. The verifier detects other errors.

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/replica/snapshot_changes.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::replica {

using kv_client::KvClient;
using runtime::Runtime;
using settings::Settings;
using time::Instant;
using time::Micros;

/// Owned by StandbyReplica. Single-threaded: called from the runtime's loop only.
class RecordReplica {
 public:
  using SnapshotHandler = std::function<void(std::shared_ptr<records::RecordSnapshot>)>;

  /// All arguments must outlive this.
  RecordReplica(Runtime& runtime, const Settings& settings, KvClient& store)
      : runtime_(runtime), settings_(settings), store_(store) {}

  /// Discards the replica and starts to read and watch the records.
  void start();
  /// Stops and discards the replica.
  void stop();
  /// Returns whether the replica contains all changes up to a few seconds ago.
  [[nodiscard]] bool complete() const;
  /// Stops, fetches the latest changes and passes the replica to `done`. Passes null if the replica is not
  /// complete, cannot be brought up to date or has not reached `min_revision`.
  void hand_over(std::uint64_t min_revision, const SnapshotHandler& done);

  /// Called with the time of a request to the state service and the cancelled live jobs in its reply. All
  /// other cancelled live jobs were passed to an earlier call.
  std::function<void(Instant requested_at, std::vector<std::string> job_ids)> cancellations_read;
  /// Called with the changes of jobs that a watch returned.
  std::function<void(const events::RecordsChanged&)> records_changed;

  [[nodiscard]] std::size_t job_count() const { return snapshot_.jobs.size(); }
  [[nodiscard]] std::size_t shard_count() const { return snapshot_.shards.size(); }

 private:
  /// The keys with one prefix. Jobs and shards are watched separately, each with its own revision.
  struct Partition {
    const char* prefix = "";
    std::uint64_t applied_revision = 0;           ///< all changes up to this revision are applied
    std::optional<std::uint64_t> first_revision;  ///< of the first page; empty: not received yet
    std::string next_key;                         ///< the next page begins after this key
    bool loaded = false;                          ///< all pages have been received
    Instant last_current_at{};                    ///< when all changes were last known to be applied
    Instant requested_at{};                       ///< when the first page was requested
  };
  /// A hand-over that is waiting for the latest changes of both partitions.
  struct HandOver {
    std::uint64_t min_revision = 0;
    SnapshotHandler done;
    std::size_t partitions_left = 0;
  };
  static std::array<Partition, 2> empty_partitions();
  Partition& job_partition() { return partitions_.front(); }
  Partition& shard_partition() { return partitions_.back(); }
  /// Calls the action after the pause, unless the replica is started, stopped or handed over before that.
  void run_after(Micros pause, std::function<void()> action);

  void load_page(Partition& partition);
  void on_page(Partition& partition, const kv_client::ReadReply& page);
  void on_loaded(Partition& partition);
  void watch(Partition& partition);
  /// Applies the changes of a watch. If they are inconsistent with the request, discards the replica and
  /// returns false.
  bool apply_changes(Partition& partition, const kv_client::WatchReply& reply);
  void publish_changes(const kv_client::WatchReply& reply) const;
  void publish_cancellations(Instant requested_at, const std::vector<kv_client::KeyValue>& puts) const;
  void discard(const char* reason);
  [[nodiscard]] Micros watch_pause() const;
  void on_last_changes(Partition& partition, const std::shared_ptr<HandOver>& hand_over,
                       const kv_client::WatchReply& reply);

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  bool running_ = false;
  /// Incremented by every start, stop and hand-over; replies to requests of earlier generations are dropped.
  std::uint64_t generation_ = 0;
  records::RecordSnapshot snapshot_;
  std::array<Partition, 2> partitions_ = empty_partitions();
};

}  // namespace wrenusher::replica
