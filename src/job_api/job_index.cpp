#include "wrenusher/job_api/job_index.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::job_api {

namespace {

/// A page is decoded in one go, while users' requests wait.
constexpr int kIndexPageSize = 200;
constexpr Micros kRetry = from_millis(700);
/// Questions that come this close together share a refresh.
constexpr Micros kGatherInterval = from_millis(10);
/// While requests are scarce, refreshes take this part of the node's pace at most.
constexpr double kScarceRateShare = 0.25;

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
                  runtime_.after(kRetry, [this] { read_page(); });
                }
              });
}

void JobIndex::on_page(const ReadReply& page) {
  // What changes while the pages are read is followed from the first one's revision.
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

/// Better none than one that is wrong: the records are read one by one until it is whole again.
void JobIndex::drop(const char* why) {
  log::info("job_index_dropped", "the index of live jobs is read anew: {reason}", log::with("reason", why));
  load();
}

void JobIndex::query(const std::string& job_id, LookupHandler done) {
  waiting_.push_back({job_id, std::move(done)});
  schedule_refresh();
}

/// Right away while there are requests to spare. Otherwise so late that others still get their turn; more
/// questions gather until then.
Micros JobIndex::pause() const {
  if (store_.has_spare_requests()) return kGatherInterval;
  const Micros apart = from_seconds(1 / (store_.request_rate() * kScarceRateShare));
  return std::max(kGatherInterval, last_refresh_ + apart - runtime_.now());
}

void JobIndex::schedule_refresh() {
  if (refresh_scheduled_ || refreshing_ || waiting_.empty()) return;
  refresh_scheduled_ = true;
  runtime_.after(pause(), [this] {
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
  std::vector<Query> asked = std::exchange(in_flight_, {});
  schedule_refresh();
  if (reply.result == WatchReply::Result::failed) {
    fail(std::move(asked));
    return;
  }
  if (!is_contiguous(reply)) {
    drop(reply.result == WatchReply::Result::ok
             ? "the state service tells other revisions than were asked for"
         : reply.result == WatchReply::Result::too_large ? "too much has changed since it was last followed"
                                                         : "the state service has the changes no more");
    fail(std::move(asked));
    return;
  }
  const bool ends_known = final_states_revision_ >= revision_;
  apply(reply);
  std::vector<Query> over;
  for (Query& query : asked) {
    const Presence standing = presence_of(query.job_id);
    if (standing == Presence::absent) {
      over.push_back(std::move(query));
    } else {
      query.done({standing, reply.sent_at});
    }
  }
  // A job leaves in the same transaction that puts its final record.
  if (!reply.deletes.empty()) {
    read_final_states(std::move(over), reply.sent_at);
    return;
  }
  if (ends_known) final_states_revision_ = revision_;
  for (const Query& query : over) query.done({Presence::absent, reply.sent_at});
}

/// A service that began anew counts from an earlier revision, or tells changes that nobody asked for.
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
  events::RecordsChanged followed;
  for (const KeyValue& row : reply.puts) {
    put(row);
    followed.put(row.key, row.value);
  }
  for (const auto& [key, stamp] : reply.deletes) {
    followed.erase(key);
    const auto job_id = records::parse_job_key(key);
    const auto it = job_id ? jobs_.find(*job_id) : jobs_.end();
    if (it != jobs_.end() && it->second.mod_revision < stamp) jobs_.erase(it);
  }
  revision_ = reply.revision;
  if (on_followed) on_followed(followed);
}

/// One request for the final records of all jobs that have ended since the last one. Where it fails, the
/// questions are answered all the same: their records are read one by one then.
void JobIndex::read_final_states(std::vector<Query> waiting, Instant sent) {
  store_.watch(records::kFinalStatePrefix, final_states_revision_, Micros{0}, KvClient::RequestClass::user,
               [this, waiting = std::move(waiting), sent](const WatchReply& reply) {
                 for (const KeyValue& row : reply.puts) {
                   const auto job_id = records::parse_final_state_key(row.key);
                   const std::string* state = row.value["s"].text();
                   if (job_id && state != nullptr)
                     on_ended(*job_id, *state, row.value["n"].count().value_or(0));
                 }
                 if (reply.result == WatchReply::Result::ok) {
                   final_states_revision_ = std::max(final_states_revision_, reply.revision);
                 } else if (reply.result != WatchReply::Result::failed) {
                   final_states_revision_ = revision_;  // what was missed is read when somebody asks
                 }
                 for (const Query& query : waiting) query.done({Presence::absent, sent});
               });
}

JobIndex::Presence JobIndex::presence_of(const std::string& job_id) const {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end()) return Presence::absent;
  return it->second.cancelled ? Presence::cancelled : Presence::live;
}

void JobIndex::fail(std::vector<Query> questions) {
  for (const Query& query : questions) query.done({});
}

}  // namespace wrenusher::job_api
