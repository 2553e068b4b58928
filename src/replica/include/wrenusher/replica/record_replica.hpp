#pragma once
// The copy of the records: live jobs and slots, kept up by the state service's changes while another leads,
// and checked against it once this node has won a term.
//
// It is filled by pages and then followed, both from the pace that nobody else wants. While it follows, the
// answer to each follow says up to which revision nothing is missing. Any doubt (a change that is older than
// what was asked for, a revision that went back, a value under another's key, changes that the service has no
// more) throws it away: a copy is whole or cold, never wrong by what is known here. What is not known here,
// the check finds (`Check`).

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "wrenusher/events/failover.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::replica {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace kv_client;

/// One put or deletion; false when the record cannot be read.
bool apply_put(records::RecordSnapshot& snapshot, const KeyValue& row);
void apply_delete(records::RecordSnapshot& snapshot, const std::string& key, std::uint64_t mod_revision);

class RecordReplica {
 public:
  RecordReplica(Runtime& runtime, const Settings& settings, KvClient& store)
      : runtime_(runtime), settings_(settings), store_(store) {}

  /// Begins to read and follow, from nothing.
  void start();
  /// Stops; what is there is void.
  void stop();
  bool running() const { return running_; }
  /// It had everything up to a few seconds ago.
  bool complete() const;
  /// Hands the copy out, with what has changed until now; nothing when it is not whole or not to be had in
  /// time. Stops. `least`: the revision that it must have reached.
  void hand_over(std::uint64_t least, std::function<void(std::shared_ptr<records::RecordSnapshot>)> done);

  /// The state service was asked then, and these live jobs are cancelled; all others that are were told
  /// before, by this copy or one of before it.
  std::function<void(Instant asked, std::vector<std::string> cancelled)> on_jobs;
  std::function<void(const events::RecordsChanged&)> on_followed;

  std::size_t jobs() const { return data_.jobs.size(); }
  std::size_t shards() const { return data_.shards.size(); }

 private:
  /// Jobs and slots are followed apart, each with its own revision.
  struct Partition {
    const char* prefix;
    std::uint64_t applied_revision = 0;           ///< nothing is missing up to this revision
    std::optional<std::uint64_t> first_revision;  ///< revision of the first page
    std::string next_key;                         ///< the next page begins after this key
    bool loaded = false;
    Instant current_at{};  ///< when it was last known to have reached that
    Instant asked_at{};    ///< when the first page was
  };
  void load_page(Partition& partition);
  void on_page(Partition& partition, const ReadReply& page);
  void publish_jobs(const Partition& partition, Instant asked, const std::vector<KeyValue>& puts);
  void watch(Partition& partition);
  bool apply(Partition& partition, const WatchReply& reply);
  void discard(const char* why);
  Micros pause() const;

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  bool running_ = false;
  /// Rises with every beginning and end: what belongs to an earlier one is dropped when it comes.
  std::uint64_t generation_ = 0;
  records::RecordSnapshot data_;
  std::array<Partition, 2> partitions_ = {Partition{"job/", 0, {}, {}, false, {}, {}},
                                          Partition{"claims/", 0, {}, {}, false, {}, {}}};
};

}  // namespace wrenusher::replica
