#pragma once
// The replica of the records: live jobs and shards, kept current by the state service's changes while another
// node leads, and verified against it once this node has won a term (ReplicaVerifier).
//
// It is read by pages and then watched, both at the rate that nobody else wants. The reply to each watch says
// up to which revision nothing is missing. Any doubt (a change that is older than what was asked for, a
// revision that went back, a value under another's key, changes that the service does not have any more)
// discards it: a replica is complete or cold, never wrong by what is known here. What is not known here, the
// verifier finds.

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

  /// Begins to read and watch, from nothing.
  void start();
  /// Stops and forgets everything.
  void stop();
  /// The replica had everything up to a few seconds ago.
  [[nodiscard]] bool complete() const;
  /// Stops, and gives the replica away with what has changed until now; null when it is not complete, cannot
  /// be brought up to date, or has not reached `min_revision`.
  void hand_over(std::uint64_t min_revision, const SnapshotHandler& done);

  /// The state service was asked at this time, and these live jobs are cancelled; all others that are were
  /// named in an earlier call.
  std::function<void(Instant asked_at, std::vector<std::string> job_ids)> cancellations_read;
  /// A watch has shown these changes of jobs.
  std::function<void(const events::RecordsChanged&)> records_changed;

  [[nodiscard]] std::size_t job_count() const { return data_.jobs.size(); }
  [[nodiscard]] std::size_t shard_count() const { return data_.shards.size(); }

 private:
  /// The keys with one prefix. Jobs and shards are watched apart, each with its own revision.
  struct Partition {
    const char* prefix = "";
    std::uint64_t applied_revision = 0;           ///< nothing is missing up to this revision
    std::optional<std::uint64_t> first_revision;  ///< of the first page; empty: it has not come
    std::string next_key;                         ///< the next page begins after this key
    bool loaded = false;                          ///< all pages have come
    Instant current_at{};                         ///< when it was last known to have reached that revision
    Instant asked_at{};                           ///< when the first page was asked for
  };
  /// A hand-over that waits for the last changes of both partitions.
  struct HandOver {
    std::uint64_t min_revision = 0;
    SnapshotHandler done;
    std::size_t partitions_left = 0;
  };
  static std::array<Partition, 2> empty_partitions();
  Partition& job_partition() { return partitions_.front(); }
  Partition& shard_partition() { return partitions_.back(); }
  /// Calls the action after the pause, unless the replica was started, stopped or handed over meanwhile.
  void after(Micros pause, std::function<void()> action);

  void load_page(Partition& partition);
  void on_page(Partition& partition, const kv_client::ReadReply& page);
  void on_loaded(Partition& partition);
  void watch(Partition& partition);
  /// Applies the changes of a watch. False, and the replica is discarded, when they do not fit.
  bool apply(Partition& partition, const kv_client::WatchReply& reply);
  void publish_changes(const kv_client::WatchReply& reply) const;
  void publish_cancellations(Instant asked_at, const std::vector<kv_client::KeyValue>& puts) const;
  void discard(const char* reason);
  [[nodiscard]] Micros watch_pause() const;
  void on_last_changes(Partition& partition, const std::shared_ptr<HandOver>& hand_over,
                       const kv_client::WatchReply& reply);

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  bool running_ = false;
  /// Rises with every start, stop and hand-over: replies that belong to an earlier one are dropped.
  std::uint64_t generation_ = 0;
  records::RecordSnapshot data_;
  std::array<Partition, 2> partitions_ = empty_partitions();
};

}  // namespace wrenusher::replica
