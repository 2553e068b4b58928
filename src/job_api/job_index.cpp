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

/// Rows per page. Decoding a page blocks users' requests, so pages are kept small.
constexpr int kIndexPageSize = 200;
constexpr Micros kLoadRetryInterval = from_millis(700);
/// Queries that arrive within this time share a refresh.
constexpr Micros kBatchInterval = from_millis(10);
/// Maximum share of the request rate limit that refreshes use while the node is close to that limit.
constexpr double kRefreshRateShare = 0.25;

/// Returns why the reply of a watch can't be applied to the index.
const char* gap_reason(WatchReply::Result result) {
  switch (result) {
    case WatchReply::Result::ok:
      return "the key-value store returned revisions outside the requested range";
    case WatchReply::Result::too_large:
      return "too many records have changed since the last refresh";
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
  // Changes made while the pages are read are watched from the first page's revision.
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

/// Discards the index and loads it again. Until it is complete, records are read one by one, because an
/// incorrect index would give wrong answers.
void JobIndex::drop(const char* reason) {
  log::info("job_index_dropped", "rebuilding the index of live jobs: {reason}", log::with("reason", reason));
  load();
}

void JobIndex::query(const std::string& job_id, LookupHandler done) {
  queued_.push_back({job_id, std::move(done)});
  schedule_refresh();
}

/// Returns the delay before the next refresh: short while the node is below its request rate limit, otherwise
/// long enough to leave most of the limit to other requests. Queries that arrive during the delay share the
/// refresh.
Micros JobIndex::refresh_delay() const {
  if (store_.has_spare_requests()) return kBatchInterval;
  const Micros interval = from_seconds(1 / (store_.request_rate() * kRefreshRateShare));
  return std::max(kBatchInterval, last_refresh_ + interval - runtime_.now());
}

void JobIndex::schedule_refresh() {
  if (refresh_scheduled_ || refreshing_ || queued_.empty()) return;
  refresh_scheduled_ = true;
  runtime_.after(refresh_delay(), [this] {
    refresh_scheduled_ = false;
    refresh();
  });
}

void JobIndex::refresh() {
  in_flight_ = std::exchange(queued_, {});
  if (!complete_) {
    fail_queries(std::exchange(in_flight_, {}));
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
    fail_queries(queries);
    return;
  }
  if (!is_contiguous(reply)) {
    drop(gap_reason(reply.result));
    fail_queries(queries);
    return;
  }
  const bool final_states_complete = final_states_revision_ >= revision_;
  apply(reply);
  answer_queries(std::move(queries), reply, final_states_complete);
}

/// `final_states_complete`: before this reply, the final records of all jobs that had left the index had been
/// read.
void JobIndex::answer_queries(std::vector<Query> queries, const WatchReply& reply,
                              bool final_states_complete) {
  std::vector<Query> absent;
  for (Query& query : queries) {
    const Presence presence = presence_of(query.job_id);
    if (presence == Presence::absent) {
      absent.push_back(std::move(query));
    } else {
      query.done({presence, reply.sent_at});
    }
  }
  // A job's live record is deleted in the transaction that writes its final record.
  if (!reply.deletes.empty()) {
    read_final_states(std::move(absent), reply.sent_at);
    return;
  }
  if (final_states_complete) final_states_revision_ = revision_;
  for (const Query& query : absent) query.done({Presence::absent, reply.sent_at});
}

/// Returns false if the reply doesn't continue the index's revision. A key-value store that was restored from
/// an older state has a lower revision, or sends changes that were not requested.
bool JobIndex::is_contiguous(const WatchReply& reply) const {
  if (reply.result != WatchReply::Result::ok || reply.revision < revision_) return false;
  const auto in_requested_range = [&](std::uint64_t mod_revision) {
    return mod_revision > revision_ && mod_revision <= reply.revision;
  };
  return std::all_of(reply.puts.begin(), reply.puts.end(),
                     [&](const KeyValue& row) { return in_requested_range(row.mod_revision); }) &&
         std::all_of(reply.deletes.begin(), reply.deletes.end(),
                     [&](const auto& deletion) { return in_requested_range(deletion.mod_revision); });
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

/// Reads the final records of all jobs that have ended since the last such read, in one request. If this
/// fails, the queries are answered nevertheless, and the records are then read one by one.
void JobIndex::read_final_states(std::vector<Query> queries, Instant request_sent_at) {
  store_.watch(records::kFinalStatePrefix, final_states_revision_, Micros{0}, KvClient::RequestClass::user,
               [this, queries = std::move(queries), request_sent_at](const WatchReply& reply) {
                 on_final_states(reply);
                 for (const Query& query : queries) query.done({Presence::absent, request_sent_at});
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
    final_states_revision_ = revision_;  // missed final records are read on demand
  }
}

JobIndex::Presence JobIndex::presence_of(const std::string& job_id) const {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end()) return Presence::absent;
  return it->second.cancelled ? Presence::cancelled : Presence::live;
}

void JobIndex::fail_queries(const std::vector<Query>& queries) {
  for (const Query& query : queries) query.done({});
}

}  // namespace wrenusher::job_api
