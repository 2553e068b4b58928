#pragma once
// An index of the live jobs as the state service has them, at one revision. Whoever asks about a job waits
// for the index to be brought up to date once more, by one request for all that wait: what an answer costs
// follows from what has changed, not from how many jobs are live or how many users ask. The index is a cache:
// it can be dropped at any time, and until it is whole again the records have to be read one by one.

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::job_api {

using namespace time;
using namespace value;
using namespace runtime;
using namespace kv_client;

class JobIndex {
 public:
  /// How a job stands by the index.
  enum class Presence {
    live,
    cancelled,  ///< live, with its cancellation recorded
    absent,  ///< over or never accepted; `on_ended` has told of it if it has ended while the index was whole
    failed   ///< the state service could not be asked, or the index is not whole any more
  };
  struct Lookup {
    Presence presence = Presence::failed;
    Instant asked_at{};  ///< when the state service was asked: it was so then or later
  };
  using LookupHandler = std::function<void(const Lookup&)>;

  /// Questions that wait at the most; what is over is refused.
  static constexpr std::size_t kMaxQueries = 12000;

  JobIndex(Runtime& runtime, KvClient& store) : runtime_(runtime), store_(store) {}

  /// Reads all live jobs, and keeps the index from then on.
  void load();
  /// Whether questions can be answered from it.
  bool complete() const { return complete_; }
  /// Whether one more question may wait.
  bool has_room() const { return waiting_.size() < kMaxQueries; }
  /// Answers once the index has been brought up to date by a request that goes out from now on.
  void query(const std::string& job_id, LookupHandler done);

  std::size_t size() const { return jobs_.size(); }

  /// A job's final record was read: its state and how many tasks were done. Before any question about it is
  /// answered with `absent`.
  std::function<void(const std::string& job_id, const std::string& state, std::uint64_t done)> on_ended;
  /// What each refresh has brought.
  std::function<void(const events::RecordsChanged&)> on_followed;

 private:
  struct Job {
    std::uint64_t mod_revision = 0;
    bool cancelled = false;
  };
  struct Query {
    std::string job_id;
    LookupHandler done;
  };
  void read_page();
  void on_page(const ReadReply& page);
  void drop(const char* why);
  void schedule_refresh();
  Micros pause() const;
  void refresh();
  void on_refreshed(const WatchReply& reply);
  bool is_contiguous(const WatchReply& reply) const;
  void apply(const WatchReply& reply);
  void read_final_states(std::vector<Query> waiting, Instant sent);
  void put(const KeyValue& row);
  Presence presence_of(const std::string& job_id) const;
  static void fail(std::vector<Query> questions);

  Runtime& runtime_;
  KvClient& store_;
  std::unordered_map<std::string, Job> jobs_;
  bool complete_ = false;
  std::string next_page_key_;
  std::optional<std::uint64_t> first_page_revision_;  ///< its revision
  std::uint64_t revision_ = 0;                        ///< the revision at which the index stands
  std::uint64_t final_states_revision_ = 0;           ///< final records up to this revision have been told of
  std::vector<Query> waiting_;                        ///< that the next refresh answers
  std::vector<Query> in_flight_;                      ///< that the present one does
  bool refresh_scheduled_ = false;
  bool refreshing_ = false;
  Instant last_refresh_{};
};

}  // namespace wrenusher::job_api
