#include "wrenusher/job_api/job_index.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::job_api {

using kv_client::KeyValue;
using kv_client::KvClient;
using kv_client::ReadReply;
using kv_client::WatchReply;
using time::from_millis;
using time::from_seconds;
using time::Instant;
using time::Micros;

namespace {

/// Rows of a page. A page is decoded in one go, while users' requests wait; further pages follow.
constexpr int kIndexPageSize = 200;
constexpr Micros kLoadRetryInterval = from_millis(700);
/// Queries that come this close together share a refresh.
constexpr Micros kGatherInterval = from_millis(10);
/// While the node is near its request rate limit, refreshes take this part of it at most.
constexpr double kScarceRateShare = 0.25;

/// Why a watch's reply can't be applied to the index.
const char* gap_reason(WatchReply::Result result) {
  switch (result) {
    case WatchReply::Result::ok:
      return "the key-value store sent revisions outside of the requested range";
    case WatchReply::Result::too_large:
      return "too much has changed since the last refresh";
    default:
      return "the key-value store has compacted the changes since the last refresh";
  }
}

}  // namespace

void JobIndex::load() {
  complete_ = false;
  jobs_.clear();
  next_page_key_.clear();
  first_page_revision_.reset();
  read_page();
}

void JobIndex::read_page() {
  store_.list(records::kJobPrefix, next_page_key_, kIndexPageSize, KvClient::RequestClass::user,
              [this](const ReadReply& page) {
                if (page.result == ReadReply::Result::ok) {
                  on_page(page);
                } else {
                  runtime_.after(kLoadRetryInterval, [this] { read_page(); });
                }
              });
}

void JobIndex::on_page(const ReadReply& page) {
  // What changes while the pages are read is watched from the first one's revision.
  if (!first_page_revision_) first_page_revision_ = page.revision;
  for (const KeyValue& row : page.rows) {
    put(row);
    next_page_key_ = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    read_page();
    return;
  }
  revision_ = final_states_revision_ = *first_page_revision_;
  complete_ = true;
}

void JobIndex::put(const KeyValue& row) {
  const auto job_id = records::parse_job_key(row.key);
  if (!job_id) return;
  Job& job = jobs_[*job_id];
  if (row.mod_revision >= job.mod_revision)
    job = {row.mod_revision, records::cancelled_job(row.key, row.value).has_value()};
}

/// No index is better than a wrong one: the records are read one by one until it is complete again.
void JobIndex::drop(const char* reason) {
  log::info("job_index_dropped", "the index of live jobs is being rebuilt: {reason}",
            log::with("reason", reason));
  load();
}

void JobIndex::query(const std::string& job_id, LookupHandler done) {
  waiting_.push_back({job_id, std::move(done)});
  schedule_refresh();
}

/// Short while the node is below its request rate limit. Otherwise long enough that other requests still get
/// their turn; more queries gather until then.
Micros JobIndex::refresh_delay() const {
  if (store_.has_spare_requests()) return kGatherInterval;
  const Micros interval = from_seconds(1 / (store_.request_rate() * kScarceRateShare));
  return std::max(kGatherInterval, last_refresh_ + interval - runtime_.now());
}

void JobIndex::schedule_refresh() {
  if (refresh_scheduled_ || refreshing_ || waiting_.empty()) return;
  refresh_scheduled_ = true;
  runtime_.after(refresh_delay(), [this] {
    refresh_scheduled_ = false;
    refresh();
  });
}

void JobIndex::refresh() {
  in_flight_ = std::exchange(waiting_, {});
  if (!complete_) {
    fail(std::exchange(in_flight_, {}));
    return;
  }
  refreshing_ = true;
  last_refresh_ = runtime_.now();
  store_.watch(records::kJobPrefix, revision_, Micros{0}, KvClient::RequestClass::user,
               [this](const WatchReply& reply) { on_refreshed(reply); });
}

void JobIndex::on_refreshed(const WatchReply& reply) {
  refreshing_ = false;
  std::vector<Query> queries = std::exchange(in_flight_, {});
  schedule_refresh();
  if (reply.result == WatchReply::Result::failed) {
    fail(queries);
    return;
  }
  if (!is_contiguous(reply)) {
    drop(gap_reason(reply.result));
    fail(queries);
    return;
  }
  const bool final_states_known = final_states_revision_ >= revision_;
  apply(reply);
  answer_queries(std::move(queries), reply, final_states_known);
}

/// `final_states_known`: before this reply, all final records of jobs that had left the index were known.
void JobIndex::answer_queries(std::vector<Query> queries, const WatchReply& reply, bool final_states_known) {
  std::vector<Query> absent;
  for (Query& query : queries) {
    const Presence presence = presence_of(query.job_id);
    if (presence == Presence::absent) {
      absent.push_back(std::move(query));
    } else {
      query.done({presence, reply.sent_at});
    }
  }
  // A job's live record is deleted in the transaction that puts its final record.
  if (!reply.deletes.empty()) {
    read_final_states(std::move(absent), reply.sent_at);
    return;
  }
  if (final_states_known) final_states_revision_ = revision_;
  for (const Query& query : absent) query.done({Presence::absent, reply.sent_at});
}

/// A store that was restored from an older state counts from an earlier revision, or sends changes that were
/// not asked for.
bool JobIndex::is_contiguous(const WatchReply& reply) const {
  if (reply.result != WatchReply::Result::ok || reply.revision < revision_) return false;
  const auto within = [&](std::uint64_t mod_revision) {
    return mod_revision > revision_ && mod_revision <= reply.revision;
  };
  return std::all_of(reply.puts.begin(), reply.puts.end(),
                     [&](const KeyValue& row) { return within(row.mod_revision); }) &&
         std::all_of(reply.deletes.begin(), reply.deletes.end(),
                     [&](const auto& deletion) { return within(deletion.mod_revision); });
}

void JobIndex::apply(const WatchReply& reply) {
  events::RecordsChanged changed;
  for (const KeyValue& row : reply.puts) {
    put(row);
    changed.put(row.key, row.value);
  }
  for (const auto& [key, mod_revision] : reply.deletes) {
    changed.erase(key);
    const auto job_id = records::parse_job_key(key);
    const auto it = job_id ? jobs_.find(*job_id) : jobs_.end();
    if (it != jobs_.end() && it->second.mod_revision < mod_revision) jobs_.erase(it);
  }
  revision_ = reply.revision;
  if (on_records_changed) on_records_changed(changed);
}

/// One request for the final records of all jobs that have ended since the last one. Where it fails, the
/// queries are answered all the same: their records are read one by one then.
void JobIndex::read_final_states(std::vector<Query> queries, Instant asked_at) {
  store_.watch(records::kFinalStatePrefix, final_states_revision_, Micros{0}, KvClient::RequestClass::user,
               [this, queries = std::move(queries), asked_at](const WatchReply& reply) {
                 on_final_states(reply);
                 for (const Query& query : queries) query.done({Presence::absent, asked_at});
               });
}

void JobIndex::on_final_states(const WatchReply& reply) {
  for (const KeyValue& row : reply.puts) {
    const auto job_id = records::parse_final_state_key(row.key);
    const std::string* state = row.value["s"].text();
    if (job_id && state != nullptr) on_ended(*job_id, *state, row.value["n"].count().value_or(0));
  }
  if (reply.result == WatchReply::Result::ok) {
    final_states_revision_ = std::max(final_states_revision_, reply.revision);
  } else if (reply.result != WatchReply::Result::failed) {
    final_states_revision_ = revision_;  // what was missed is read when somebody asks
  }
}

JobIndex::Presence JobIndex::presence_of(const std::string& job_id) const {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end()) return Presence::absent;
  return it->second.cancelled ? Presence::cancelled : Presence::live;
}

void JobIndex::fail(const std::vector<Query>& queries) {
  for (const Query& query : queries) query.done({});
}

}  // namespace wrenusher::job_api
